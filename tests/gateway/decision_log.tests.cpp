#include "gateway/decision_log.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <string>

#include <csignal>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

using namespace masticgap;
using namespace masticgap::gateway;

namespace {

//! Pipe that the log writes to.
class Pipe {
public:
  Pipe() { REQUIRE(::pipe(Ends.data()) == 0); }
  ~Pipe() {
    ::close(Ends[0]);
    closeWriter();
  }
  void closeReader() { ::close(std::exchange(Ends[0], -1)); }
  void closeWriter() {
    if (Ends[1] >= 0)
      ::close(std::exchange(Ends[1], -1));
  }
  int writer() const { return Ends[1]; }
  //! Returns everything written so far.
  std::string read() {
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 65536> Part{};
    while (true) {
      const auto Size = ::read(Ends[0], Part.data(), Part.size());
      if (Size <= 0)
        return Text;
      Text.append(Part.data(), static_cast<std::size_t>(Size));
    }
  }

private:
  std::array<int, 2> Ends{-1, -1};
};

//! Returns a line without its timestamp.
std::string line(const std::string &Text) {
  return Text.substr(Text.find(" host="));
}

} // namespace

TEST_CASE("a line has the event and its fields") {
  boost::asio::io_context Io;
  Pipe Out;
  DecisionLog Log(Io, HostId("h1"), Out.writer());
  Log.write(
      LogClass::Decision, "rejected",
      {{"id", "a b"}, {"wait_ms", 1.25}, {"cold", true}, {"text", "x\n\""}});
  Log.flush();
  CHECK(line(Out.read()) ==
        " host=h1 event=rejected id=\"a b\" wait_ms=1.250 cold=true "
        "text=\"x?\\\"\"\n");
}

// Guards against a value of another writer that displaces other lines.
TEST_CASE("long values are cut and do not displace other lines") {
  boost::asio::io_context Io;
  Pipe Out;
  DecisionLog Log(Io, HostId("h1"), Out.writer());
  for (int I = 0; I < 20; ++I)
    Log.write(LogClass::Decision, "worker_registered",
              {{"worker", I}, {"service", std::string(65536, 's')}});
  Log.write(LogClass::Decision, "rejected", {{"id", std::string(1024, 'i')}});
  CHECK(Log.dropped() == 0);
  std::string All;
  for (int I = 0; I < 100; ++I) {
    Log.flush();
    All += Out.read();
  }
  CHECK(All.size() < 21 * 1200);
  CHECK(All.find(" worker=19 service=" + std::string(1024, 's') + "...\n") !=
        std::string::npos);
  CHECK(All.ends_with(" id=" + std::string(1024, 'i') + "\n"));
}

// Guards against requests that block because the log output is not read.
TEST_CASE(
    "an output that is not read blocks nothing and drops complete lines") {
  boost::asio::io_context Io;
  Pipe Out;
  DecisionLog Log(Io, HostId("h1"), Out.writer());
  const auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < 20000; ++I) {
    Log.write(LogClass::Routine, "request", {{"id", I}});
    if (I % 100 == 0)
      Log.flush();
  }
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(10));
  CHECK(Log.dropped() > 0);
  // Decision lines are still accepted when routine lines are dropped.
  const auto Dropped = Log.dropped();
  Log.write(LogClass::Decision, "rejected", {{"id", "last"}});
  CHECK(Log.dropped() == Dropped);
  std::string All;
  for (int I = 0; I < 100; ++I) {
    All += Out.read();
    Log.flush();
  }
  CHECK(All.find("id=last") != std::string::npos);
  CHECK(All.find("event=log_dropped") != std::string::npos);
  for (std::size_t Position = 0; Position < All.size();) {
    CHECK(All.compare(Position, 3, "ts=") == 0);
    Position = All.find('\n', Position) + 1;
  }
}

TEST_CASE("a closed output drops lines and does not end the process") {
  ::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context Io;
  Pipe Out;
  DecisionLog Log(Io, HostId("h1"), Out.writer());
  Out.closeReader();
  Log.write(LogClass::Decision, "rejected", {});
  Log.flush();
  Log.write(LogClass::Decision, "rejected", {});
  CHECK(Log.dropped() == 2);
}
