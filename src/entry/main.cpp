#include "entry/daemon.hpp"
#include "entry/settings.hpp"
#include "masticgap/state/captured.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <thread>

DEFINE_string(settings, "", "File with the settings of this entry host (JSON)");
DEFINE_bool(check_settings, false, "Check the settings and exit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

constexpr const char *Version = "0.1.0";

using namespace masticgap;
using namespace masticgap::entry;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr const char *Usage =
    R"(Usage: masticgap-entry --settings FILE [--check-settings]

Entry daemon: answers look-ups and forwards requests to workers.

  --settings FILE    settings of this entry host (JSON)
  --check-settings   check the settings and exit
  --version          print the version and exit
  --help             print this text and exit

The settings are host, region, failure_domain, address, lookup_port,
traffic_port, admin_port, gossip_port, platform (ip:port), seeds (list of
ip:port), seed, lookup_threads, drain_grace_ms, drain_limit_ms,
probe_interval_ms, max_header_bytes, max_body_bytes, buffered_body_bytes,
max_callers, max_waiting, receive_timeout_ms, send_timeout_ms, idle_timeout_ms
and connect_timeout_ms. Port 0 takes a free port. SIGTERM is the planned stop.
)";

int fail(const Error &Problem, int Code) {
  std::cerr << "masticgap-entry: " << describe(Problem) << '\n';
  return Code;
}

//! Serves until the planned stop is complete.
int serve(EntrySettings Settings) {
  Daemon Host(std::move(Settings));
  boost::asio::io_context SignalIo(1);
  boost::asio::signal_set Signals(SignalIo, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code Failure, int) {
    if (!Failure)
      Host.requestStop();
  });
  const auto Started = capture<EntryPorts>([&] { return Host.start(); });
  if (const auto *Problem = std::get_if<Error>(&Started))
    return fail(*Problem, ExitFailure);
  const auto &Ports = std::get<EntryPorts>(Started);
  std::cout << "ready lookup=" << Ports.Lookup << " traffic=" << Ports.Traffic
            << " admin=" << Ports.Admin << " gossip=" << Ports.Gossip
            << std::endl;
  std::thread SignalThread([&] { SignalIo.run(); });
  Host.run();
  SignalIo.stop();
  SignalThread.join();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  // Entry hosts have no disks for log files.
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineNonHelpFlags(&Count, &Arguments, true);
  if (FLAGS_help) {
    std::cout << Usage;
    return 0;
  }
  if (FLAGS_version) {
    std::cout << "masticgap-entry " << Version << '\n';
    return 0;
  }
  if (FLAGS_settings.empty() || Count > 1) {
    std::cerr << Usage;
    return ExitUsage;
  }
  google::InitGoogleLogging(Arguments[0]);
  auto Loaded =
      capture<EntrySettings>([] { return loadSettings(FLAGS_settings); });
  if (const auto *Problem = std::get_if<Error>(&Loaded))
    return fail(*Problem, ExitUsage);
  if (FLAGS_check_settings) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return serve(std::get<EntrySettings>(std::move(Loaded)));
}
