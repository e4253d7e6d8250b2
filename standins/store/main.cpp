#include "standins/store/store_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 takes a free port");

int main(int Count, char **Arguments) {
  using namespace masticgap;
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  try {
    boost::asio::io_context Io(1);
    standins::StoreServer Server(
        Io, {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)});
    std::cout << "listening " << Server.local().Port << std::endl;
    boost::asio::signal_set Stop(Io, SIGTERM, SIGINT);
    Stop.async_wait([&](auto, int) { Io.stop(); });
    Io.run();
  } catch (const std::exception &E) {
    std::cerr << "standin-store: cannot listen on " << FLAGS_address << ": "
              << E.what() << "; free the port or pass another --port\n";
    return 1;
  }
  return 0;
}
