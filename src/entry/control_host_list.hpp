#pragma once

#include "masticgap/protocol/platform_json.hpp"
#include "masticgap/transport/http_types.hpp"
#include "masticgap/transport/platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace masticgap::entry {

//! Polls the platform's host list. The interval grows with the number of entry
//! hosts, so that all of them together stay at 25 reads/s.
class HostListPoller {
public:
  using Handler = std::function<void(protocol::HostList)>;
  //! Returns the admin endpoint of a live peer, if there is one.
  using PeerSource = std::function<std::optional<Endpoint>()>;

  //! \param PeerEndpoint returns the peer whose list is requested when the
  //! platform is unavailable and no list has been received yet, so that a host
  //! can start during an outage.
  HostListPoller(boost::asio::io_context &Io,
                 transport::PlatformClient &Platform, std::uint64_t Seed,
                 Handler OnList, PeerSource PeerEndpoint);

  //! Sets the number of live entry hosts.
  void setHostCount(std::size_t Count) { LiveHosts = Count; }
  //! Polls until stop(); the last list remains in use while polls fail.
  void start();
  void stop();

private:
  void poll();
  void schedule();
  void accept(protocol::HostList List);
  void requestFromPeer();
  void onPeerAnswer(const transport::HttpResponse &Answer);

  boost::asio::io_context &Io;
  transport::PlatformClient &Platform;
  std::mt19937_64 Random;
  Handler OnList;
  PeerSource PeerEndpoint;
  boost::asio::steady_timer Timer;
  std::size_t LiveHosts = 1;
  bool HasList = false;
  std::vector<Error> Skipped; //!< Of the last list that was read.
  bool Failing = false;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
