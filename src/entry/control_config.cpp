#include "entry/control_config.hpp"

#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace masticgap::entry {

namespace http = boost::beast::http;
using namespace coordination;

namespace {

constexpr std::chrono::milliseconds PeerFetchTimeout{2000};
//! Limits the wait for a tick that is never due, which would overflow the
//! timer.
constexpr Duration MaxTimerWait = std::chrono::hours(1);

} // namespace

ConfigRunner::ConfigRunner(boost::asio::io_context &Io,
                           transport::PlatformClient &Platform,
                           ConfigFollower Follower, Outputs Out)
    : Io(Io), Platform(Platform), Follower(std::move(Follower)),
      Out(std::move(Out)), Timer(Io) {}

void ConfigRunner::stop() {
  Stopped = true;
  Timer.cancel();
}

void ConfigRunner::handleEvent(const ConfigEvent &Event) {
  if (Stopped)
    return;
  for (const ConfigAction &Action : Follower.handle(Event, Out.Clock()))
    execute(Action);
  armTimer();
}

void ConfigRunner::execute(const ConfigAction &Action) {
  if (const auto *Read = std::get_if<ReadConfigRow>(&Action)) {
    Platform.run(Read->Call, [this, WeakAlive = std::weak_ptr<bool>(Alive)](
                                 StoreAnswer Answer) {
      if (!WeakAlive.expired())
        handleEvent(ConfigStoreAnswered{std::move(Answer)});
    });
  } else if (const auto *Fetch = std::get_if<FetchConfig>(&Action)) {
    fetch(*Fetch);
  } else if (const auto *Accept = std::get_if<AcceptConfig>(&Action)) {
    Out.Accepted(Accept->Document);
  } else {
    LOG(WARNING) << "configuration: "
                 << describe(std::get<ReportConfigProblem>(Action).Problem);
  }
}

void ConfigRunner::fetch(const FetchConfig &Fetch) {
  const auto Peer = Out.PeerAdmin(Fetch.Peer);
  const std::weak_ptr<bool> WeakAlive = Alive;
  // The follower requires that the answer does not arrive within the call.
  if (!Peer) {
    boost::asio::post(Io, [this, WeakAlive, Id = Fetch.CallId] {
      if (!WeakAlive.expired())
        handleEvent(ConfigFetchFailed{Id});
    });
    return;
  }
  transport::fetch(
      Io, *Peer, transport::makeRequest(http::verb::get, *Peer, "/peer/config"),
      PeerFetchTimeout,
      [this, WeakAlive, Id = Fetch.CallId](boost::system::error_code Failure,
                                           transport::HttpResponse Answer) {
        if (WeakAlive.expired())
          return;
        if (Failure || Answer.result() != http::status::ok)
          return handleEvent(ConfigFetchFailed{Id});
        handleEvent(ConfigDocumentReceived{Id, std::move(Answer.body())});
      });
}

void ConfigRunner::armTimer() {
  const Duration Wait = Follower.nextTick() - Out.Clock();
  Timer.expires_after(std::clamp(Wait, Duration(0), MaxTimerWait));
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      handleEvent(ConfigTick{});
  });
}

} // namespace masticgap::entry
