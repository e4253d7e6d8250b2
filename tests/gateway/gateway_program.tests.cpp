#include "gateway/gateway_program.hpp"
#include "platform/rows.hpp"
#include "platform/store_client.hpp"
#include "platform/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

using namespace masticgap;
namespace asio = boost::asio;

namespace {

template <class Protocol> std::string freePort() {
  asio::io_context Io;
  typename Protocol::socket Socket(Io);
  Socket.open(Protocol::v4());
  Socket.bind({asio::ip::make_address("127.0.0.1"), 0});
  return std::to_string(Socket.local_endpoint().port());
}

//! Settings file that is removed at the end of its test.
class SettingsFile {
public:
  SettingsFile()
      : Path("/tmp/masticgap-settings-" + std::to_string(::getpid()) +
             ".json") {
    const std::string Host = "127.0.0.1:";
    std::ofstream(Path)
        << R"({"host":"h1","region":"r","failure_domain":"d",)"
        << R"("failure_domains":{"d":"r"},"traffic":")" << Host
        << freePort<asio::ip::tcp>() << R"(","readiness":")" << Host
        << freePort<asio::ip::tcp>() << R"(","lookup":")" << Host
        << freePort<asio::ip::tcp>() << R"(","gossip_port":)"
        << freePort<asio::ip::udp>() << R"(,"peer_port":)"
        << freePort<asio::ip::tcp>() << R"(,"seeds":[],"platform":")" << Host
        << freePort<asio::ip::tcp>()
        << R"(","grace_period":"1s","retry_ratio":0.2,"retry_slack":10,)"
        << R"("retry_window":"10s"})";
  }
  ~SettingsFile() { std::remove(Path.c_str()); }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;

  const std::string Path;
};

} // namespace

// Guards against a gateway that ends by a signal, without its planned stop, if
// the signal comes while it starts.
TEST_CASE("signals that come while a gateway starts are handled") {
  const SettingsFile File;
  const int Code = gateway::runGateway(
      File.Path,
      [](asio::io_context &Io, const gateway::GatewaySettings &Settings) {
        std::raise(SIGHUP);
        std::raise(SIGTERM);
        return gateway::PlatformApi{
            platform::makeStoreApi(Io, Settings.Platform),
            platform::makeRowReader(Settings.DomainRegions),
            platform::makeWireFormat()};
      });
  CHECK(Code == 0);
}
