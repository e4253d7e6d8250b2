// A request that crashes the workers that run it, sent from several addresses
// to several gateways.
#include "common/eventually.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;
namespace asio = boost::asio;

namespace {

//! Sends a request from a loopback address and reads the head of the answer.
std::string sendFrom(const std::string &Source, const Endpoint &To,
                     const std::string &Bytes) {
  asio::io_context Io(1);
  asio::ip::tcp::socket Connection(Io);
  Connection.open(asio::ip::tcp::v4());
  Connection.bind({asio::ip::make_address(Source), 0});
  Connection.connect({asio::ip::make_address(To.Address), To.Port});
  asio::write(Connection, asio::buffer(Bytes));
  std::string Answer;
  boost::system::error_code Failure;
  asio::read_until(Connection, asio::dynamic_buffer(Answer), "\r\n\r\n",
                   Failure);
  return Answer;
}

//! Worker that crashes on some requests and may start again.
struct CrashingWorker {
  explicit CrashingWorker(ScriptedWorker::Script Answers)
      : Process(std::move(Answers)) {}

  ScriptedWorker Process;
  unsigned Starts = 1;
  std::size_t Crashes = 0; //!< Crashes after which it was registered again.

  std::size_t arrivals(const std::string &Path) const {
    std::size_t Count = 0;
    for (const SeenRequest &Seen : Process.seen())
      Count += Seen.Head.find(Path) != std::string::npos;
    return Count;
  }
};

enum class Restart { None, SameId, NewId };

} // namespace

// Guards against a request that is passed on to further workers because its
// copies come from other addresses, in another framing, or because the workers
// that it crashed accept connections again at once.
TEST_CASE("a request that crashes workers is quarantined whoever sends it") {
  const std::string Head = "Host: a.example\r\nAttempt-Id: id-1\r\n"
                           "Deadline-Milliseconds: 3000\r\n"
                           "Cookie: Affinity-Key=17\r\n";
  const std::string Sized =
      "POST /unsafe/bad HTTP/1.1\r\n" + Head + "Content-Length: 4\r\n\r\nbody";
  const std::string Chunked = "POST /unsafe/bad HTTP/1.1\r\n" + Head +
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "1\r\nb\r\n3\r\nody\r\n0\r\n\r\n";
  const std::string Get = "GET /safe/bad HTTP/1.1\r\n" + Head + "\r\n";
  struct Case {
    const char *Name;
    std::vector<std::string> Requests; //!< Sent in turn.
    Restart After;
  };
  const Case Cases[] = {
      {"workers stay down, body with a length", {Sized}, Restart::None},
      {"workers stay down, both framings", {Sized, Chunked}, Restart::None},
      {"workers stay down, idempotent", {Get}, Restart::None},
      {"workers restart at once under their id", {Sized}, Restart::SameId},
      {"workers restart at once under a new id", {Sized}, Restart::NewId},
  };
  // The third crash and three later copies are tolerated.
  constexpr std::size_t MaxArrivals = 6;
  constexpr int Sends = 16;
  constexpr std::chrono::milliseconds Interval{400};
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const auto Answers = [&](std::size_t, const SeenRequest &Seen) {
      if (Seen.Head.find("/bad") == std::string::npos)
        return workerAnswer(200, "id-1", "whole");
      return std::string(C.After == Restart::None ? ScriptedWorker::Crash
                                                  : ScriptedWorker::Reset);
    };
    std::vector<std::unique_ptr<CrashingWorker>> Workers;
    GatewayFixture A;
    const auto Register = [&](std::size_t Index) {
      CrashingWorker &Worker = *Workers[Index];
      const std::string Id = "w" + std::to_string(Index);
      const unsigned Start = Worker.Starts;
      const Endpoint Address = Worker.Process.endpoint();
      const std::string Row =
          R"({"service":"svc","address":"127.0.0.1:)" +
          std::to_string(Address.Port) +
          R"(","zone":"d","version":"v1","slots":3,"state":"ready",)"
          R"("cold_remaining":"0ms","sequence_number":1,"born":)" +
          std::to_string(1000 * Start) + "}";
      if (C.After == Restart::NewId && Start > 1)
        A.removeWorker(Id + "-" + std::to_string(Start - 1));
      A.putWorkerRow(
          C.After == Restart::NewId ? Id + "-" + std::to_string(Start) : Id,
          Row);
    };
    for (std::size_t I = 0; I < 8; ++I) {
      Workers.push_back(std::make_unique<CrashingWorker>(Answers));
      Register(I);
    }
    A.putConfig(1);
    A.start();
    A.awaitReady();
    GatewayFixture B(A);
    B.start();
    B.awaitReady();
    const auto Arrivals = [&] {
      std::size_t Count = 0;
      for (const auto &Worker : Workers)
        Count += Worker->arrivals("/bad");
      return Count;
    };
    for (int I = 0; I < Sends; ++I) {
      const GatewayFixture &To = I % 2 == 0 ? A : B;
      sendFrom("127.0.0." + std::to_string(20 + I), To.settings().Traffic,
               C.Requests[static_cast<std::size_t>(I) % C.Requests.size()]);
      for (std::size_t W = 0; C.After != Restart::None && W < Workers.size();
           ++W)
        if (const std::size_t Seen = Workers[W]->arrivals("/bad");
            Seen > Workers[W]->Crashes) {
          Workers[W]->Crashes = Seen;
          ++Workers[W]->Starts;
          Register(W);
        }
      std::this_thread::sleep_for(Interval);
    }
    CHECK(Arrivals() <= MaxArrivals);
    // Other requests are served once no worker is ejected.
    for (GatewayFixture *Gateway : {&A, &B})
      CHECK(eventually([&] {
        const auto Answer = Gateway->send("/safe/good");
        return Answer && Answer->result_int() == 200;
      }));
  }
}
