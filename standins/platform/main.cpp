#include "masticgap/state/captured.hpp"
#include "standins/platform/platform_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 takes a free one");
DEFINE_string(hosts_file, "",
              "JSON file with the first host list: {\"workers\":[...],"
              "\"entry_hosts\":[...]}");
DEFINE_uint32(hosts_lag_ms, 0, "time until GET /hosts shows a change");

namespace {

int fail(const std::string &Message) {
  std::cerr << "standin-platform: " << Message << '\n';
  return 2;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace masticgap;
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (FLAGS_port > 65535)
    return fail("--port is " + std::to_string(FLAGS_port) +
                "; accepted: 0 to 65535");
  protocol::HostList Hosts;
  if (!FLAGS_hosts_file.empty()) {
    std::ifstream File(FLAGS_hosts_file);
    std::stringstream Text;
    Text << File.rdbuf();
    if (!File)
      return fail("--hosts_file " + FLAGS_hosts_file + " cannot be read");
    const auto Parsed = capture<protocol::HostList>(
        [&] { return protocol::parseHostList(Text.str()); });
    if (const Error *E = std::get_if<Error>(&Parsed))
      return fail("--hosts_file " + FLAGS_hosts_file + ": " + describe(*E));
    Hosts = std::get<protocol::HostList>(Parsed);
  }
  try {
    boost::asio::io_context Io(1);
    standins::PlatformServer Server(
        Io, {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)});
    Server.setHosts(std::move(Hosts));
    Server.setHostsLag(std::chrono::milliseconds(FLAGS_hosts_lag_ms));
    std::cout << "listening " << Server.local().Port << std::endl;
    boost::asio::signal_set Stop(Io, SIGTERM, SIGINT);
    Stop.async_wait([&](auto, int) { Io.stop(); });
    Io.run();
  } catch (const std::exception &E) {
    return fail(std::string("cannot listen on ") + FLAGS_address + ": " +
                E.what());
  }
  return 0;
}
