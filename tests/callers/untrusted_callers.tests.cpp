// Callers that do not stay within the limits, against a gateway process.
#include "callers/gateway_process.hpp"
#include "common/eventually.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>

using namespace masticgap;
using namespace masticgap::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t MiB = 1024 * 1024;
//! The callers' load and these bounds are fixed; the host of the test has 64 MB
//! and 240 descriptors.
constexpr std::size_t Callers = 300;
constexpr std::size_t MaxResident = 40 * MiB;
constexpr std::size_t MaxResidentAfterwards = 24 * MiB;
constexpr std::size_t MaxDescriptors = 240;
//! Time for which the callers act; the rounds of slow ones are in it.
constexpr std::chrono::milliseconds LoadTime{600};
constexpr std::chrono::milliseconds RoundTime{5};
//! Sanitizers use memory of their own.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool MeasuresMemory = false;
#else
constexpr bool MeasuresMemory = true;
#endif

constexpr std::size_t BodyBytes = 400'000; //!< max_body_bytes
constexpr std::size_t Unlimited = BodyBytes * 100;

std::string head(const std::string &Target, const std::string &Fields) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id\r\n"
         "Deadline-Milliseconds: 3000\r\n" +
         Fields + "\r\n";
}

std::string repeated(std::size_t Times, const std::string &Text) {
  std::string Result;
  Result.reserve(Times * Text.size());
  for (std::size_t I = 0; I < Times; ++I)
    Result += Text;
  return Result;
}

std::string length(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

//! How callers misbehave.
struct Kind {
  const char *Name;
  //! Returns all bytes that a caller sends for a target. The connection then
  //! stays open.
  std::string (*Bytes)(const std::string &Target);
  std::size_t SendBytes; //!< Sent in each round at most.
  std::size_t ReadBytes; //!< Read in each round at most.
};

const Kind Kinds[] = {
    {"body in one piece, a byte short",
     [](const std::string &Target) {
       return head(Target, length(BodyBytes)) + std::string(BodyBytes - 1, 'x');
     },
     Unlimited, 0},
    {"body in small pieces, a byte short",
     [](const std::string &Target) {
       return head(Target, length(BodyBytes)) + std::string(BodyBytes - 1, 'x');
     },
     5000, 0},
    {"body in chunks without the last one",
     [](const std::string &Target) {
       return head(Target, "Transfer-Encoding: chunked\r\n") +
              repeated(BodyBytes / 100 - 1,
                       "64\r\n" + std::string(100, 'x') + "\r\n");
     },
     Unlimited, 0},
    {"body far over the limit",
     [](const std::string &Target) {
       return head(Target, length(100 * BodyBytes)) +
              std::string(2 * BodyBytes, 'x');
     },
     Unlimited, 0},
    {"very many short fields",
     [](const std::string &Target) {
       return head(Target, length(1) + repeated(2600, "a:b\r\n"));
     },
     Unlimited, 0},
    {"pipelined requests, responses are not read",
     [](const std::string &Target) {
       return repeated(300, head(Target, length(0)));
     },
     Unlimited, 0},
    {"slow head that stops halfway",
     [](const std::string &Target) {
       return head(Target, length(1)).substr(0, 60);
     },
     1, 0},
    {"responses are read slowly",
     [](const std::string &Target) {
       return repeated(20, head(Target, length(0)));
     },
     Unlimited, 1},
};

//! Where callers send to.
struct Place {
  const char *Name;
  const Endpoint &(GatewayProcess::*At)() const;
  const char *Target;
  //! An ordinary request there is answered with 200; null: with another status.
  const char *Ordinary;
};

const Place Places[] = {
    {"route", &GatewayProcess::traffic, "/unsafe/large", "/unsafe/x"},
    {"no route", &GatewayProcess::traffic, "/other/x", nullptr},
    {"readiness", &GatewayProcess::readiness, "/api/readiness",
     "/api/readiness"},
    {"look-up", &GatewayProcess::lookup, "/api/resolution?name=a.example",
     "/api/resolution?name=a.example"},
};

//! Callers of one kind on one thread.
class UntrustedCallers {
public:
  UntrustedCallers(const Kind &How, const Endpoint &To,
                   const std::string &Target)
      : How(How), Bytes(How.Bytes(Target)), Sent(Callers) {
    const Tcp::endpoint Address(asio::ip::make_address(To.Address), To.Port);
    for (std::size_t I = 0; I < Callers; ++I) {
      boost::system::error_code Failure;
      Sockets.emplace_back(Io).connect(Address, Failure);
    }
  }

  //! Sends and reads what the kind allows in one round.
  void actOnce() {
    for (std::size_t I = 0; I < Sockets.size(); ++I) {
      const int Socket = Sockets[I].native_handle();
      const std::size_t Part = std::min(How.SendBytes, Bytes.size() - Sent[I]);
      if (Part > 0) {
        const ssize_t Accepted = ::send(Socket, Bytes.data() + Sent[I], Part,
                                        MSG_DONTWAIT | MSG_NOSIGNAL);
        Sent[I] += Accepted > 0 ? static_cast<std::size_t>(Accepted) : 0;
      }
      if (How.ReadBytes > 0)
        ::recv(Socket, Discarded.data(),
               std::min(How.ReadBytes, Discarded.size()), MSG_DONTWAIT);
    }
  }

private:
  const Kind &How;
  const std::string Bytes;
  std::vector<std::size_t> Sent; //!< By caller.
  asio::io_context Io{1};
  std::vector<Tcp::socket> Sockets;
  std::array<char, 64> Discarded{};
};

//! Lets callers act.
//! \returns the most that the process held.
ProcessUse peakUnder(const Kind &How, const Place &Where,
                     const GatewayProcess &Gateway) {
  ProcessUse Peak;
  UntrustedCallers Many(How, (Gateway.*Where.At)(), Where.Target);
  const auto End = std::chrono::steady_clock::now() + LoadTime;
  while (std::chrono::steady_clock::now() < End) {
    Many.actOnce();
    const ProcessUse Now = Gateway.use();
    Peak.ResidentBytes = std::max(Peak.ResidentBytes, Now.ResidentBytes);
    Peak.Descriptors = std::max(Peak.Descriptors, Now.Descriptors);
    std::this_thread::sleep_for(RoundTime);
  }
  return Peak;
}

} // namespace

// Guards against callers that terminate or hang a process, or make it take more
// memory or descriptors than its host has, also after they have left.
TEST_CASE("untrusted callers do not use up a gateway") {
  for (const Kind &How : Kinds) {
    for (const Place &Where : Places) {
      const std::string Row = std::string(How.Name) + ", " + Where.Name;
      CAPTURE(Row);
      const GatewayProcess Gateway;
      const ProcessUse Peak = peakUnder(How, Where, Gateway);
      CHECK(Gateway.isAlive());
      CHECK((Peak.ResidentBytes < MaxResident || !MeasuresMemory));
      CHECK(Peak.Descriptors <= MaxDescriptors);
      const bool GivenBack = eventually(
          [&] { return Gateway.use().ResidentBytes < MaxResidentAfterwards; });
      CHECK((GivenBack || !MeasuresMemory));
      CHECK(eventually(
          [&] { return Gateway.serves(Gateway.traffic(), "/safe/x"); }));
      if (Where.Ordinary)
        CHECK(eventually([&] {
          return Gateway.serves((Gateway.*Where.At)(), Where.Ordinary);
        }));
      CHECK(Gateway.isAlive());
      MESSAGE(Row << ": " << Peak.ResidentBytes / 1024 << " KiB, "
                  << Peak.Descriptors << " descriptors; afterwards "
                  << Gateway.use().ResidentBytes / 1024 << " KiB");
    }
  }
}
