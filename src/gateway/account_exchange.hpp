#pragma once

#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "gateway/settings.hpp"
#include "masticgap/coordination/account_limit/account_limiter.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/traffic_config.hpp"
#include "masticgap/transport/attempt_control.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>

namespace masticgap::gateway {

//! Longest datagram of the exchange.
inline constexpr std::size_t MaxAccountDatagramBytes = 64;

//! Encodes a message for one datagram.
std::string encodeAccountMessage(const coordination::AccountMessage &Message);
//! \returns nothing if the bytes are not one complete message.
std::optional<coordination::AccountMessage>
decodeAccountMessage(std::string_view Bytes);

//! Limits of accounts at one gateway, and the UDP socket over which gateways
//! exchange credit. Without limited accounts it has no socket and no state.
class AccountExchange {
public:
  using Members = std::function<std::span<const coordination::MemberRecord>()>;
  using Admission =
      std::variant<coordination::AccountAdmitted, coordination::OverLimit>;

  AccountExchange(boost::asio::io_context &Io, const GatewaySettings &Settings,
                  DecisionLog &Log, Metrics &Stats, std::uint64_t Seed);
  ~AccountExchange();
  AccountExchange(const AccountExchange &) = delete;
  AccountExchange &operator=(const AccountExchange &) = delete;

  //! Sets the source of the members.
  void setMembers(Members Source);
  //! Reads the members again, once all events of this turn are handled.
  void membersChanged();
  //! Records a gossip message of another member.
  //! \param SaysDead the sender regards this host as dead.
  void messageReceived(bool SaysDead);
  //! Takes over the limits of a configuration.
  void adopt(const TrafficConfig &Config);
  //! Applies the bounds of changed settings.
  void settingsChanged();
  //! To be called every AccountLimiter::HeartbeatPeriod.
  void tick();
  //! Closes the socket.
  void stop();

  //! Decides about a request of an account. It may wait for as long as the
  //! credit would be valid, twice if this host itself was late, or until the
  //! request is cancelled.
  boost::asio::awaitable<Admission> admit(const Account &Caller,
                                          transport::AttemptControl &Control);
  //! Returns the credit of a request that reached no worker.
  void giveBack(const Account &Caller,
                const coordination::AccountAdmitted &Unused);
  //! Returns what admit() would decide first, without a change of the state.
  coordination::AccountAdmission preview(const Account &Caller) const;
  //! Returns what this host knows of an account; nothing if it has no limit.
  std::optional<coordination::AccountStatus>
  status(const Account &Subject) const;
  //! Returns the time within which an admitted request has to reach a worker.
  Duration arrivalDelay() const { return Limits.arrivalDelay(); }
  //! Returns whether the socket is open.
  bool isOpen() const { return Socket.is_open(); }

private:
  struct Waiter;
  struct NamedAccount {
    std::string Name;
    coordination::AccountCounters Reported; //!< In the metrics.
    Instant LoggedAt;
    std::uint64_t RefusedSinceLogged = 0;
  };
  using Udp = boost::asio::ip::udp;

  void begin();
  void openSocket();
  void readMembers();
  void receive();
  //! Handles the datagrams that have arrived already.
  void receivePending();
  void handleDatagram(const Udp::endpoint &From, std::string_view Bytes);
  //! Carries out what the limiter has decided.
  void perform();
  void send(const coordination::OutgoingAccountMessage &Message);
  void armTimer();
  void recordRefusal(coordination::AccountKey Key,
                     const coordination::OverLimit &Refusal);
  void countCredit();

  boost::asio::io_context &Io;
  const GatewaySettings &Settings;
  DecisionLog &Log;
  Metrics &Stats;
  std::uint64_t Seed;
  Instant StartedAt;
  coordination::AccountLimitSettings Limits;
  Members MemberSource;
  std::optional<coordination::AccountLimiter> Limiter;
  std::unordered_map<coordination::AccountKey, NamedAccount> Names;
  std::map<HostId, Udp::endpoint> Peers;
  std::map<Udp::endpoint, HostId> PeerHosts;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> Waiters;
  Udp::socket Socket;
  Udp::endpoint Sender;
  //! One byte more than the longest datagram, to detect longer ones.
  using DatagramBuffer = std::array<char, MaxAccountDatagramBytes + 1>;
  DatagramBuffer Buffer{};
  boost::asio::steady_timer Timer;
  std::optional<Instant> TimerAt;
  std::uint64_t Version = 0; //!< Of the configuration.
  bool Receiving = false;
  bool MembersPending = false;
  //! Expired when the object is destroyed, for handlers that are pending.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::gateway
