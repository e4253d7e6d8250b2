#pragma once

#include "masticgap/coordination/link_grants.hpp"
#include "masticgap/transport/platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace masticgap::entry {

//! Drives the link grants: timer and store calls.
class LinkGrantRunner {
public:
  struct Outputs {
    std::function<void(const coordination::LinkGrant &)> Granted;
    std::function<void(const coordination::LinkCapSeen &)> CapSeen;
    std::function<Instant()> Clock;
  };

  LinkGrantRunner(boost::asio::io_context &Io,
                  transport::PlatformClient &Platform,
                  coordination::LinkGrants Grants, Outputs Out);

  void handleEvent(const coordination::LinkGrantEvent &Event);
  void stop();

private:
  void execute(const coordination::LinkGrantAction &Action);
  void run(coordination::StoreCall Call);
  void armTimer();

  transport::PlatformClient &Platform;
  coordination::LinkGrants Grants;
  Outputs Out;
  boost::asio::steady_timer Timer;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
