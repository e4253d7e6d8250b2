#include "entry/control_host_list.hpp"

#include "masticgap/state/captured.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticgap::entry {

namespace {

constexpr double MinIntervalSeconds = 2;
//! Poll rate of all hosts together; jitter changes it to between 40 and 60
//! polls/s.
constexpr double FleetPollsPerSecond = 50;
constexpr double JitterShare = 0.2;
//! A host without a list cannot serve requests, so it polls more often.
constexpr double IntervalWithoutListSeconds = 0.5;
constexpr std::chrono::milliseconds PeerTimeout{1000};

} // namespace

HostListPoller::HostListPoller(boost::asio::io_context &Io,
                               transport::PlatformClient &Platform,
                               std::uint64_t Seed, Handler OnList,
                               PeerSource PeerEndpoint)
    : Io(Io), Platform(Platform), Random(Seed), OnList(std::move(OnList)),
      PeerEndpoint(std::move(PeerEndpoint)), Timer(Io) {}

void HostListPoller::start() { poll(); }

void HostListPoller::stop() {
  Stopped = true;
  Timer.cancel();
}

void HostListPoller::poll() {
  Platform.hosts([this, WeakAlive = std::weak_ptr<bool>(Alive)](
                     Captured<protocol::HostList> Result) {
    if (WeakAlive.expired() || Stopped)
      return;
    if (auto *List = std::get_if<protocol::HostList>(&Result)) {
      LOG_IF(INFO, Failing) << "the host list can be read again";
      Failing = false;
      accept(std::move(*List));
    } else {
      LOG_IF(WARNING, !Failing)
          << "host list not read, the last one remains in use: "
          << describe(std::get<Error>(Result));
      Failing = true;
      if (!HasList)
        requestFromPeer();
    }
    schedule();
  });
}

void HostListPoller::accept(protocol::HostList List) {
  HasList = true;
  LOG_IF(WARNING, !List.Skipped.empty() && List.Skipped != Skipped)
      << "skipped " << List.Skipped.size()
      << " workers of the host list, the first one because "
      << describe(List.Skipped.front());
  Skipped = List.Skipped;
  OnList(std::move(List));
}

void HostListPoller::requestFromPeer() {
  const auto From = PeerEndpoint();
  if (!From)
    return;
  transport::fetch(Io, *From,
                   transport::makeRequest(boost::beast::http::verb::get, *From,
                                          "/peer/hosts"),
                   PeerTimeout,
                   [this, WeakAlive = std::weak_ptr<bool>(Alive)](
                       boost::system::error_code Failure,
                       const transport::HttpResponse &Answer) {
                     if (!WeakAlive.expired() && !Stopped && !HasList &&
                         !Failure)
                       onPeerAnswer(Answer);
                   });
}

void HostListPoller::onPeerAnswer(const transport::HttpResponse &Answer) {
  if (Answer.result() != boost::beast::http::status::ok)
    return;
  auto Parsed = capture<protocol::HostList>(
      [&] { return protocol::readHostList(Answer.body()); });
  if (auto *List = std::get_if<protocol::HostList>(&Parsed)) {
    LOG(INFO) << "platform unavailable; using the host list of a peer";
    accept(std::move(*List));
  }
}

void HostListPoller::schedule() {
  const double FleetBase = std::max(
      MinIntervalSeconds, static_cast<double>(LiveHosts) / FleetPollsPerSecond);
  const double Base = HasList ? FleetBase : IntervalWithoutListSeconds;
  std::uniform_real_distribution<double> Jitter(1 - JitterShare,
                                                1 + JitterShare);
  const std::chrono::duration<double> Wait(Base * Jitter(Random));
  Timer.expires_after(
      std::chrono::duration_cast<std::chrono::nanoseconds>(Wait));
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      poll();
  });
}

} // namespace masticgap::entry
