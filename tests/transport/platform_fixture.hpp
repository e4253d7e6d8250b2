#pragma once

#include "standins/platform/platform_server.hpp"

#include <thread>

namespace masticgap::tests {

//! Stand-in platform on a free port, run by a separate thread.
struct RunningPlatform {
  boost::asio::io_context Io{1};
  standins::PlatformServer Server{Io, {"127.0.0.1", 0}};
  std::thread Thread{[this] { Io.run(); }};

  ~RunningPlatform() {
    Io.stop();
    Thread.join();
  }
};

} // namespace masticgap::tests
