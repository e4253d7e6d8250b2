#include "callers/gateway_process.hpp"

#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticgap::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

//! Generous limits, since the machine may be busy.
constexpr std::chrono::seconds ReadyLimit{30};
constexpr std::chrono::seconds AnswerLimit{10};
constexpr int MaxStarts = 5;
constexpr unsigned Workers = 10;
constexpr std::size_t LargeAnswerBytes = 200'000;

constexpr const char *Config =
    R"({"version":1,"routes":{"columns":["name","hostname","prefix","kind",
"timeout","target_latency","priority","service","max_attempts",
"session_affinity","home_regions","traffic_split"],"rows":[
["safe","a.example","/safe/","safe","1000ms","400ms",2,"svc",2,false,[],null],
["unsafe","a.example","/unsafe/","unsafe","1000ms","400ms",0,"svc",2,false,[],
null]]},"services":{"columns":["name","health_check_path","connection_limit",
"cold_start","cold_per_s"],"rows":[["svc","/health",600,"3s",5]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":400000,
"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

template <class Protocol> std::uint16_t freePort() {
  asio::io_context Io;
  typename Protocol::socket Socket(Io);
  Socket.open(Protocol::v4());
  Socket.bind({asio::ip::make_address("127.0.0.1"), 0});
  return Socket.local_endpoint().port();
}

Endpoint freeEndpoint() { return {"127.0.0.1", freePort<asio::ip::tcp>()}; }

std::string text(const Endpoint &Of) {
  return Of.Address + ":" + std::to_string(Of.Port);
}

std::string answer(const SeenRequest &Request) {
  std::string Id;
  if (const std::size_t At = Request.Head.find("Attempt-Id: ");
      At != std::string::npos)
    Id = Request.Head.substr(At + 12, Request.Head.find('\r', At) - At - 12);
  const bool Large = Request.Head.find("/large ") != std::string::npos;
  const std::string Body(Large ? LargeAnswerBytes : 2, 'x');
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
         "\r\nResponse-Signature: s\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

GatewayProcess::GatewayProcess()
    : Store(StoreIo, Endpoint{"127.0.0.1", 0}),
      Worker([](std::size_t, const SeenRequest &Request) {
        return answer(Request);
      }),
      SettingsPath("/tmp/masticgap-callers-" + std::to_string(::getpid()) +
                   ".json") {
  Store.put("op", "config", Config);
  for (unsigned I = 0; I < Workers; ++I)
    Store.put("servers", "w" + std::to_string(I),
              R"({"service":"svc","address":")" + text(Worker.endpoint()) +
                  R"(","zone":"d","version":"v1","slots":3,"state":"ready",)"
                  R"("cold_remaining":"0ms","sequence_number":4,"born":1000})");
  StoreThread = std::thread([this] {
    const auto Work = asio::make_work_guard(StoreIo);
    StoreIo.run();
  });
  // Another process may have taken a port since it was found free.
  bool Started = false;
  for (int Try = 0; Try < MaxStarts && !Started; ++Try) {
    chooseFreePorts();
    Started = tryStart();
  }
  CHECK_MESSAGE(Started, "the gateway does not become ready");
}

GatewayProcess::~GatewayProcess() {
  end();
  StoreIo.stop();
  StoreThread.join();
  std::remove(SettingsPath.c_str());
}

void GatewayProcess::end() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  Process = 0;
}

void GatewayProcess::chooseFreePorts() {
  Traffic = freeEndpoint();
  Readiness = freeEndpoint();
  Lookup = freeEndpoint();
  PeerPort = freePort<asio::ip::tcp>();
  GossipPort = freePort<asio::ip::udp>();
}

std::string GatewayProcess::settings() const {
  return R"({"host":"h1","region":"r","failure_domain":"d",)"
         R"("failure_domains":{"d":"r"},"traffic":")" +
         text(Traffic) + R"(","readiness":")" + text(Readiness) +
         R"(","lookup":")" + text(Lookup) + R"(","gossip_port":)" +
         std::to_string(GossipPort) + R"(,"peer_port":)" +
         std::to_string(PeerPort) + R"(,"seeds":[],"platform":")" +
         text(Store.local()) +
         R"(","retry_ratio":10,"log_requests":false,)"
         R"("memory_mb":64,"file_descriptors":240})";
}

bool GatewayProcess::tryStart() {
  end();
  std::ofstream(SettingsPath) << settings();
  std::string Program = std::string(MASTICGAP_BIN_DIR) + "/masticgap-gateway";
  std::string Option = "--settings=" + SettingsPath;
  char *Arguments[] = {Program.data(), Option.data(), nullptr};
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  ::posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
  const int Failure = ::posix_spawn(&Process, Program.c_str(), &Files, nullptr,
                                    Arguments, environ);
  ::posix_spawn_file_actions_destroy(&Files);
  REQUIRE(Failure == 0);
  const auto Limit = std::chrono::steady_clock::now() + ReadyLimit;
  while (isAlive() && std::chrono::steady_clock::now() < Limit) {
    // Requests are served once the workers are known as well.
    if (serves(Readiness, "/api/readiness") && serves(Traffic, "/safe/x"))
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

bool GatewayProcess::isAlive() const {
  // WNOWAIT leaves the result for end().
  siginfo_t Ended{};
  ::waitid(P_PID, static_cast<id_t>(Process), &Ended,
           WEXITED | WNOHANG | WNOWAIT);
  return Ended.si_pid == 0;
}

ProcessUse GatewayProcess::use() const {
  const std::string Folder = "/proc/" + std::to_string(Process);
  std::ifstream Statm(Folder + "/statm");
  std::size_t Pages = 0;
  Statm >> Pages >> Pages;
  ProcessUse Result;
  Result.ResidentBytes =
      Pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  std::error_code Failure;
  for (std::filesystem::directory_iterator File(Folder + "/fd", Failure), End;
       !Failure && File != End; File.increment(Failure))
    ++Result.Descriptors;
  return Result;
}

bool GatewayProcess::serves(const Endpoint &At,
                            const std::string &Target) const {
  transport::HttpRequest Request =
      transport::makeRequest(http::verb::get, At, Target);
  Request.set(http::field::host, "a.example");
  Request.set("Attempt-Id", "ordinary");
  Request.set("Deadline-Milliseconds", "3000");
  try {
    return transport::fetchNow(At, Request, AnswerLimit).result_int() == 200;
  } catch (const boost::system::system_error &) {
    return false;
  }
}

} // namespace masticgap::tests
