#pragma once

#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "gateway/settings.hpp"
#include "gateway/traffic_account.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/coordination/load_exchange/load_sharing.hpp"
#include "masticgap/coordination/member_record.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::gateway {

//! Longest datagram of the exchange, so that it is not fragmented.
inline constexpr std::size_t MaxLoadDatagramBytes = 1200;

//! Encodes a message for one datagram.
std::string encodeLoadMessage(const coordination::LoadMessage &Message);
//! \returns nothing if the bytes are not one complete message.
std::optional<coordination::LoadMessage>
decodeLoadMessage(std::string_view Bytes);

//! Socket and timer over which the gateways of a region exchange the load that
//! workers report to them. It has neither until a worker reports a load that
//! the settings have it exchange.
class LoadExchange {
public:
  using Members = std::function<std::span<const coordination::MemberRecord>()>;

  LoadExchange(boost::asio::io_context &Io, const GatewaySettings &Settings,
               coordination::Dispatcher &Dispatch, DecisionLog &Log,
               Metrics &Stats, TrafficAccount &Network);
  ~LoadExchange();
  LoadExchange(const LoadExchange &) = delete;
  LoadExchange &operator=(const LoadExchange &) = delete;

  //! Sets the source of the members.
  void setMembers(Members Source);
  //! Reads the members again, once all events of this turn are handled.
  void membersChanged();
  //! Records a report that a worker made to this host.
  void recordOwn(const WorkerId &Worker,
                 const coordination::QueueReport &Report);
  //! Updates the metrics and follows changed settings; to be called about twice
  //! a second.
  void tick();
  //! Closes the socket.
  void stop();

  //! Returns whether this host takes part in the exchange.
  bool isActive() const { return Socket.is_open(); }
  //! Returns whether this host gathers the reports of its failure domain.
  bool isGatherer() const {
    return isActive() && Sharing && Sharing->isGatherer();
  }

private:
  using Udp = boost::asio::ip::udp;

  //! Numbers of reports since the metrics were updated.
  struct Counts {
    std::uint64_t Sent = 0;
    std::uint64_t Received = 0;
    std::uint64_t Applied = 0;
    std::uint64_t AppliedAgeMs = 0; //!< Sum over the applied reports.
    std::uint64_t Unknown = 0;      //!< Of workers that are not known here.
    std::uint64_t Older = 0;        //!< Than what this host knows.
    std::uint64_t Expired = 0;
    std::uint64_t Malformed = 0; //!< Datagrams.
    std::uint64_t Sender = 0;    //!< Datagrams of hosts that may not send them.
  };

  void begin();
  bool openSocket();
  void readMembers();
  void receive();
  void onReceived(std::size_t Size);
  void apply(const std::vector<coordination::WorkerLoad> &Loads);
  void armTimer();
  void sendReports();
  void updateMetrics();

  boost::asio::io_context &Io;
  const GatewaySettings &Settings;
  coordination::Dispatcher &Dispatch;
  DecisionLog &Log;
  Metrics &Stats;
  TrafficAccount &Network;
  Members MemberSource;
  std::optional<coordination::LoadSharing> Sharing;
  //! Live members of the region.
  std::map<HostId, Udp::endpoint> Peers;
  std::map<Udp::endpoint, HostId> PeerHosts;
  Udp::socket Socket;
  Udp::endpoint Sender;
  //! One byte more than the longest datagram, to detect longer ones.
  std::array<char, MaxLoadDatagramBytes + 1> Buffer{};
  boost::asio::steady_timer Timer;
  Instant LastSentAt;
  Counts Since;
  bool TimerArmed = false;
  bool Receiving = false;
  bool MembersPending = false;
  //! Expired when the object is destroyed, for handlers that are pending.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::gateway
