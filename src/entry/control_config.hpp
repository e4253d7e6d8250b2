#pragma once

#include "masticgap/coordination/config_follower.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace masticgap::entry {

//! Drives the configuration follower: timer, store reads and fetches from
//! peers.
class ConfigRunner {
public:
  struct Outputs {
    std::function<void(std::shared_ptr<const ConfigDocument>)> Accepted;
    //! Returns the admin endpoint of a peer, if it is known.
    std::function<std::optional<Endpoint>(const HostId &)> PeerAdmin;
    std::function<Instant()> Clock;
  };

  ConfigRunner(boost::asio::io_context &Io, transport::PlatformClient &Platform,
               coordination::ConfigFollower Follower, Outputs Out);

  //! Passes an event to the follower and executes the resulting actions.
  void handleEvent(const coordination::ConfigEvent &Event);
  void stop();

  const coordination::ConfigFollower &follower() const { return Follower; }

private:
  void execute(const coordination::ConfigAction &Action);
  void fetch(const coordination::FetchConfig &Fetch);
  void armTimer();

  boost::asio::io_context &Io;
  transport::PlatformClient &Platform;
  coordination::ConfigFollower Follower;
  Outputs Out;
  boost::asio::steady_timer Timer;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
