#include "gateway/gateway_program.hpp"

#include "gateway/gateway_daemon.hpp"
#include "masticgap/state/captured.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <ctime>
#include <iostream>
#include <utility>

#include <sys/stat.h>

namespace masticgap::gateway {

namespace asio = boost::asio;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
//! Period of the check whether the settings file changed without a signal.
constexpr std::chrono::seconds WatchPeriod{1};

int fail(const Error &Problem, int Code) {
  std::cerr << "masticgap-gateway: " << describe(Problem) << '\n';
  return Code;
}

//! What changes with the content of a file; empty when it cannot be read.
struct FileStamp {
  std::time_t Seconds = 0;
  long Nanoseconds = 0;
  long long Size = -1;
  friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

FileStamp stampOf(const std::string &Path) {
  struct stat Found {};
  if (::stat(Path.c_str(), &Found) != 0)
    return {};
  return {Found.st_mtim.tv_sec, Found.st_mtim.tv_nsec, Found.st_size};
}

//! Signals and the settings file, as a source of calls to the daemon.
class ProcessEvents {
public:
  ProcessEvents(asio::io_context &Io, GatewayDaemon &Host, std::string Path)
      : Host(Host), Path(std::move(Path)), Stamp(stampOf(this->Path)),
        Signals(Io, SIGTERM, SIGINT, SIGHUP), Timer(Io) {
    awaitSignal();
    watchFile();
  }

private:
  void awaitSignal() {
    Signals.async_wait([this](boost::system::error_code Failure, int Signal) {
      if (Failure)
        return;
      if (Signal == SIGHUP)
        Host.reload();
      else
        Host.requestStop();
      awaitSignal();
    });
  }

  void watchFile() {
    Timer.expires_after(WatchPeriod);
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (Failure)
        return;
      const FileStamp Now = stampOf(Path);
      if (Now != Stamp && Now != FileStamp()) {
        Stamp = Now;
        Host.reload();
      }
      watchFile();
    });
  }

  GatewayDaemon &Host;
  std::string Path;
  FileStamp Stamp;
  asio::signal_set Signals;
  asio::steady_timer Timer;
};

} // namespace

int runGateway(const std::string &SettingsPath,
               const PlatformFactory &MakePlatform) {
  auto Loaded =
      capture<GatewaySettings>([&] { return loadSettings(SettingsPath); });
  if (const auto *Problem = std::get_if<Error>(&Loaded))
    return fail(*Problem, ExitUsage);
  auto &Settings = std::get<GatewaySettings>(Loaded);
  // A connection that its other side closed is an error of the write.
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Io(1);
  PlatformApi Port = MakePlatform(Io, Settings);
  GatewayDaemon Host(Io, std::move(Settings), std::move(Port),
                     [&] { return loadSettings(SettingsPath); });
  const auto Started = capture<bool>([&]() -> boost::leaf::result<bool> {
    BOOST_LEAF_CHECK(Host.start());
    return true;
  });
  if (const auto *Problem = std::get_if<Error>(&Started))
    return fail(*Problem, ExitFailure);
  ProcessEvents Events(Io, Host, SettingsPath);
  Io.run();
  return 0;
}

} // namespace masticgap::gateway
