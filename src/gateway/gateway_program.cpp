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
//! Period at which the settings file is checked for changes.
constexpr std::chrono::seconds WatchPeriod{1};

int fail(const Error &Problem, int Code) {
  std::cerr << "masticgap-gateway: " << describe(Problem) << '\n';
  return Code;
}

//! Identifies a version of a file; default-constructed when stat() fails, for
//! example because the file does not exist.
struct FileStamp {
  std::time_t Seconds = 0;
  long Nanoseconds = 0;
  long long Size = -1;
  friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

FileStamp readFileStamp(const std::string &Path) {
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0)
    return {};
  return {Status.st_mtim.tv_sec, Status.st_mtim.tv_nsec, Status.st_size};
}

//! Forwards signals and changes of the settings file to the daemon.
class ProcessEvents {
public:
  //! \param Signals holds the signals that came while the process started.
  ProcessEvents(asio::io_context &Io, GatewayDaemon &Daemon, std::string Path,
                asio::signal_set &Signals)
      : Daemon(Daemon), Path(std::move(Path)), Stamp(readFileStamp(this->Path)),
        Signals(Signals), Timer(Io) {
    awaitSignal();
    watchFile();
  }

private:
  void awaitSignal() {
    Signals.async_wait([this](boost::system::error_code Failure, int Signal) {
      if (Failure)
        return;
      if (Signal == SIGHUP)
        Daemon.reload();
      else
        Daemon.requestStop();
      awaitSignal();
    });
  }

  void watchFile() {
    Timer.expires_after(WatchPeriod);
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (Failure)
        return;
      const FileStamp Now = readFileStamp(Path);
      if (Now != Stamp && Now != FileStamp()) {
        Stamp = Now;
        Daemon.reload();
      }
      watchFile();
    });
  }

  GatewayDaemon &Daemon;
  std::string Path;
  FileStamp Stamp;
  asio::signal_set &Signals;
  asio::steady_timer Timer;
};

} // namespace

int runGateway(const std::string &SettingsPath,
               const PlatformFactory &MakePlatform) {
  asio::io_context Io(1);
  // A signal that comes while the process starts is handled afterwards; its
  // default action would end the process.
  asio::signal_set Signals(Io, SIGTERM, SIGINT, SIGHUP);
  auto Loaded =
      capture<GatewaySettings>([&] { return loadSettings(SettingsPath); });
  if (const auto *Problem = std::get_if<Error>(&Loaded))
    return fail(*Problem, ExitUsage);
  auto &Settings = std::get<GatewaySettings>(Loaded);
  // Writing to a connection that the peer closed reports an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  PlatformApi Platform = MakePlatform(Io, Settings);
  GatewayDaemon Daemon(Io, std::move(Settings), std::move(Platform),
                       [&] { return loadSettings(SettingsPath); });
  const auto Started = capture<bool>([&]() -> boost::leaf::result<bool> {
    BOOST_LEAF_CHECK(Daemon.start());
    return true;
  });
  if (const auto *Problem = std::get_if<Error>(&Started))
    return fail(*Problem, ExitFailure);
  ProcessEvents Events(Io, Daemon, SettingsPath, Signals);
  Io.run();
  return 0;
}

} // namespace masticgap::gateway
