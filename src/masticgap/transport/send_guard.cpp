#include "masticgap/transport/send_guard.hpp"

#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/dead_peer_detection.hpp"
#include "masticgap/transport/tcp_state.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace masticgap::transport {

namespace {

//! Interval between looks at the connection; short against MaxUnacknowledged.
constexpr std::chrono::milliseconds CheckPeriod{500};
//! The kernel also leaves a probe of a live peer unanswered at times, because
//! it limits the rate of such answers.
constexpr unsigned MaxUnansweredProbes = 1;

} // namespace

class SendGuard::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(std::shared_ptr<WorkerConnection> Guarded)
      : Connection(std::move(Guarded)),
        Timer(Connection->Stream.get_executor()) {}

  void arm() {
    Timer.expires_after(CheckPeriod);
    Timer.async_wait([WeakSelf = weak_from_this()](
                         const boost::system::error_code &Cancelled) {
      const auto Self = WeakSelf.lock();
      if (!Cancelled && Self && Self->Connection->Stream.socket().is_open())
        Self->check();
    });
  }

  void stop() {
    Timer.cancel();
    if (Extended && Connection->Stream.socket().is_open())
      setMaxUnacknowledged(Connection->Stream.socket(), MaxUnacknowledged);
  }

private:
  void check() {
    auto &Socket = Connection->Stream.socket();
    const TcpSendState State = tcpSendState(Socket.native_handle());
    const Instant Now = now();
    if (!State.AwaitsWindow) {
      StalledSince.reset();
      if (std::exchange(Extended, false))
        setMaxUnacknowledged(Socket, MaxUnacknowledged);
    } else if (State.UnansweredProbes <= MaxUnansweredProbes) {
      if (!StalledSince)
        StalledSince = Now - CheckPeriod;
      // The kernel counts from the beginning of the stall.
      const auto Stalled =
          std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                                *StalledSince);
      setMaxUnacknowledged(Socket, Stalled + MaxUnacknowledged);
      Extended = true;
    }
    arm();
  }

  std::shared_ptr<WorkerConnection> Connection;
  boost::asio::steady_timer Timer;
  std::optional<Instant> StalledSince;
  bool Extended = false;
};

SendGuard::SendGuard(std::shared_ptr<WorkerConnection> Connection)
    : Pimpl(std::make_shared<Impl>(std::move(Connection))) {
  Pimpl->arm();
}

SendGuard::~SendGuard() { Pimpl->stop(); }

} // namespace masticgap::transport
