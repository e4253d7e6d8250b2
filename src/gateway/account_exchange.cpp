#include "gateway/account_exchange.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>
#include <streambuf>
#include <utility>

// GCC 12 reports a mismatch between the inlined allocation of a coroutine frame
// and the function that Asio frees it with (false positive).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace coordination;

namespace {

//! First bytes of a datagram: format and kind of the message.
constexpr std::uint16_t RequestMark = 0xac03;
constexpr std::uint16_t GrantMark = 0xac04;
//! Time between two log lines about one account.
constexpr Duration LogPeriod = std::chrono::seconds(1);
//! Datagrams that a timer handles before it refuses requests.
constexpr std::size_t MaxPending = 64;
//! Longest wait of the timer, so that it can always be armed.
constexpr std::chrono::hours LongWait{24};

template <class Archive> void fields(Archive &Ar, CreditRequest &Message) {
  Ar(Message.Id, Message.Account, Message.Waiting, Message.Ahead,
     Message.Refused, Message.Members, Message.Stock, Message.StockWanted);
}

template <class Archive> void fields(Archive &Ar, CreditGrant &Message) {
  auto Status = static_cast<std::uint8_t>(Message.Status);
  Ar(Message.Id, Message.Account, Message.Granted, Message.RetryAfterMs,
     Message.Stock, Status);
  if (Status > static_cast<std::uint8_t>(OwnerStatus::NotOwner))
    throw cereal::Exception("unknown status of an owner");
  Message.Status = static_cast<OwnerStatus>(Status);
}

template <class T>
std::optional<AccountMessage> decode(cereal::PortableBinaryInputArchive &Ar) {
  T Message;
  fields(Ar, Message);
  return Message;
}

AccountLimitSettings limitSettings(const GatewaySettings &Settings) {
  AccountLimitSettings Result;
  Result.Window = Settings.QuotaWindow;
  Result.Overage = Settings.QuotaOverage;
  Result.Slack = Settings.QuotaSlack;
  Result.RoundTrip = Settings.CrossRegionRoundTrip;
  Result.GossipPeriod = Settings.GossipPeriod;
  Result.Seeds = Settings.Seeds.size();
  return Result;
}

FleetMemberStatus statusOf(const MemberRecord &Member) {
  if (Member.Status == MemberStatus::Dead)
    return FleetMemberStatus::Dead;
  if (Member.Status == MemberStatus::Left)
    return FleetMemberStatus::Left;
  return Member.Draining ? FleetMemberStatus::Stopping
                         : FleetMemberStatus::Live;
}

} // namespace

std::string encodeAccountMessage(const AccountMessage &Message) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Ar(Out);
    std::visit(
        [&](auto Copy) {
          Ar(std::is_same_v<decltype(Copy), CreditRequest> ? RequestMark
                                                           : GrantMark);
          fields(Ar, Copy);
        },
        Message);
  }
  return std::move(Out).str();
}

std::optional<AccountMessage> decodeAccountMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxAccountDatagramBytes)
    return std::nullopt;
  try {
    std::istringstream In{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Ar(In);
    std::uint16_t Mark = 0;
    Ar(Mark);
    std::optional<AccountMessage> Result;
    if (Mark == RequestMark)
      Result = decode<CreditRequest>(Ar);
    else if (Mark == GrantMark)
      Result = decode<CreditGrant>(Ar);
    if (In.peek() != std::istringstream::traits_type::eof())
      return std::nullopt;
    return Result;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

//! A request that waits for credit. The timer is used as a condition.
struct AccountExchange::Waiter {
  explicit Waiter(asio::io_context &Io) : Ready(Io) {}

  asio::steady_timer Ready;
  std::optional<Admission> Result;
};

AccountExchange::AccountExchange(asio::io_context &Io,
                                 const GatewaySettings &Settings,
                                 DecisionLog &Log, Metrics &Stats,
                                 std::uint64_t Seed)
    : Io(Io), Settings(Settings), Log(Log), Stats(Stats), Seed(Seed),
      StartedAt(transport::now()), Limits(limitSettings(Settings)), Socket(Io),
      Timer(Io) {}

AccountExchange::~AccountExchange() = default;

void AccountExchange::setMembers(Members Source) {
  MemberSource = std::move(Source);
  membersChanged();
}

void AccountExchange::adopt(const TrafficConfig &Config) {
  std::vector<AccountLimit> New;
  std::unordered_map<AccountKey, NamedAccount> NewNames;
  if (Config.Accounts)
    for (const Account &Each : Config.Accounts->accounts()) {
      if (Each.RatePerSecond <= 0)
        continue;
      const AccountKey Key = accountKey(Each.Name.value());
      New.push_back({Key, Each.RatePerSecond, Each.BurstSize});
      const auto Known = Names.find(Key);
      if (Known != Names.end())
        NewNames.emplace(Key, std::move(Known->second));
      else
        NewNames.emplace(Key, NamedAccount{Each.Name.value(), {}, {}, 0});
    }
  if (New.empty() && !Limiter)
    return;
  if (Limiter)
    countCredit();
  else
    begin();
  Names = std::move(NewNames);
  Version = Config.Version;
  Limiter->setLimits(std::move(New), transport::now());
  perform();
}

void AccountExchange::begin() {
  std::size_t Seeds = 0;
  for (const Endpoint &Each : Settings.Seeds)
    Seeds += Each.Address != Settings.Traffic.Address ? 1 : 0;
  const Instant Now = transport::now();
  Limiter.emplace(Limits, Settings.Host, Seeds + 1, Seed, StartedAt);
  Limiter->beginHeartbeat(Now);
  openSocket();
  readMembers();
}

void AccountExchange::openSocket() {
  error_code Failed;
  const auto Address = asio::ip::make_address(Settings.Traffic.Address, Failed);
  const Udp::endpoint Local(Address, Settings.accountPort());
  if (!Failed)
    Socket.open(Local.protocol(), Failed);
  if (!Failed)
    Socket.bind(Local, Failed);
  if (!Failed)
    Socket.non_blocking(true, Failed);
  if (Failed) {
    error_code Ignored;
    Socket.close(Ignored);
    Log.write(LogClass::Decision, "account_port_failed",
              {{"port", unsigned{Settings.accountPort()}},
               {"error", Failed.message()}});
    return;
  }
  receive();
}

void AccountExchange::membersChanged() {
  if (!Limiter || std::exchange(MembersPending, true))
    return;
  asio::post(Io, [this, Weak = std::weak_ptr(Alive)] {
    if (Weak.expired())
      return;
    MembersPending = false;
    readMembers();
    perform();
  });
}

void AccountExchange::messageReceived(bool SaysDead) {
  if (!Limiter)
    return;
  if (SaysDead)
    Limiter->recordDeclaredDead(transport::now());
  else
    Limiter->recordContact(transport::now());
}

void AccountExchange::readMembers() {
  if (!MemberSource)
    return;
  std::vector<FleetMember> All;
  Peers.clear();
  PeerHosts.clear();
  for (const MemberRecord &Member : MemberSource()) {
    const bool IsSeed = std::ranges::any_of(
        Settings.Seeds,
        [&](const std::string &Address) {
          return Address == Member.Host.Address;
        },
        &Endpoint::Address);
    All.push_back({Member.Host.Id, statusOf(Member), Member.SizeClass,
                   Member.Host.Run, IsSeed});
    if (!isLive(Member) || Member.Host.Id == Settings.Host)
      continue;
    error_code Failed;
    const auto Address = asio::ip::make_address(Member.Host.Address, Failed);
    if (Failed)
      continue;
    const Udp::endpoint At(Address, Settings.accountPort());
    Peers.emplace(Member.Host.Id, At);
    PeerHosts.emplace(At, Member.Host.Id);
  }
  Limiter->setMembers(All, transport::now());
}

void AccountExchange::receive() {
  if (!Socket.is_open())
    return;
  Receiving = true;
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this, Weak = std::weak_ptr(Alive)](error_code Failed, std::size_t Size) {
        if (Weak.expired())
          return;
        Receiving = false;
        // After an error, receiving resumes at the next tick, so that a
        // persistent error does not cause a busy loop.
        if (Failed)
          return;
        handleDatagram(Sender, {Buffer.data(), Size});
        perform();
        receive();
      });
}

void AccountExchange::receivePending() {
  // The asynchronous receive has a buffer of its own.
  DatagramBuffer Bytes{};
  Udp::endpoint From;
  error_code Failed;
  for (std::size_t I = 0; Socket.is_open() && I < MaxPending; ++I) {
    const std::size_t Size =
        Socket.receive_from(asio::buffer(Bytes), From, 0, Failed);
    if (Failed)
      return;
    handleDatagram(From, {Bytes.data(), Size});
  }
}

void AccountExchange::handleDatagram(const Udp::endpoint &From,
                                     std::string_view Bytes) {
  const auto Peer = PeerHosts.find(From);
  if (Peer == PeerHosts.end())
    return;
  if (const auto Message = decodeAccountMessage(Bytes))
    Limiter->handle(Peer->second, *Message, transport::now());
}

void AccountExchange::perform() {
  for (const AccountDecision &Decision : Limiter->takeDecisions()) {
    const auto Found = Waiters.find(Decision.Waiter);
    if (Found == Waiters.end())
      continue;
    Found->second->Result = Decision.Result;
    Found->second->Ready.cancel();
    Waiters.erase(Found);
  }
  for (const OutgoingAccountMessage &Message : Limiter->takeMessages())
    send(Message);
  armTimer();
}

void AccountExchange::send(const OutgoingAccountMessage &Message) {
  const auto To = Peers.find(Message.To);
  if (To == Peers.end() || !Socket.is_open())
    return;
  // A datagram that does not fit into the socket buffer is lost like any other.
  error_code Ignored;
  Socket.send_to(asio::buffer(encodeAccountMessage(Message.What)), To->second,
                 0, Ignored);
}

void AccountExchange::armTimer() {
  const auto Next = Limiter->nextDeadline();
  if (!Next || (TimerAt && *TimerAt <= *Next))
    return;
  TimerAt = Next;
  Timer.expires_after(std::max(Duration(0), *Next - transport::now()));
  Timer.async_wait([this, Weak = std::weak_ptr(Alive)](error_code Failed) {
    if (Failed || Weak.expired())
      return;
    TimerAt.reset();
    // The answer of an owner may have arrived while the event loop was late.
    if (const auto Due = Limiter->nextDeadline();
        Due && *Due <= transport::now())
      receivePending();
    Limiter->advance(transport::now());
    perform();
  });
}

void AccountExchange::settingsChanged() {
  // The periods of gossip are those of the start.
  const Duration GossipPeriod = Limits.GossipPeriod;
  Limits = limitSettings(Settings);
  Limits.GossipPeriod = GossipPeriod;
  if (Limiter)
    Limiter->setSettings(Limits, transport::now());
}

void AccountExchange::tick() {
  if (!Limiter)
    return;
  Limiter->heartbeat(transport::now());
  if (!Receiving)
    receive();
  countCredit();
}

void AccountExchange::stop() {
  error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
}

asio::awaitable<AccountExchange::Admission>
AccountExchange::admit(const Account &Caller,
                       transport::AttemptControl &Control) {
  if (!Limiter || Caller.RatePerSecond <= 0)
    co_return AccountAdmitted();
  const AccountKey Key = accountKey(Caller.Name.value());
  const AccountAdmission First = Limiter->admit(Key, transport::now());
  std::shared_ptr<Waiter> Waiting;
  if (const auto *Waits = std::get_if<AwaitCredit>(&First)) {
    Waiting = std::make_shared<Waiter>(Io);
    Waiters.emplace(Waits->Waiter, Waiting);
  }
  perform();
  Admission Result = OverLimit();
  if (const auto *Immediate = std::get_if<AccountAdmitted>(&First)) {
    Result = *Immediate;
  } else if (const auto *Over = std::get_if<OverLimit>(&First)) {
    Result = *Over;
  } else {
    if (!Waiting->Result) {
      Waiting->Ready.expires_after(LongWait);
      Control.attach(&Waiting->Ready);
      error_code Ignored;
      co_await Waiting->Ready.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
      Control.detach();
    }
    if (!Waiting->Result) {
      const std::uint64_t Id = std::get<AwaitCredit>(First).Waiter;
      Waiters.erase(Id);
      Limiter->cancel(Key, Id);
      co_return Result;
    }
    Result = *Waiting->Result;
  }
  if (const auto *Over = std::get_if<OverLimit>(&Result))
    recordRefusal(Key, *Over);
  co_return Result;
}

void AccountExchange::giveBack(const Account &Caller,
                               const AccountAdmitted &Unused) {
  if (!Limiter || !Unused.Limited)
    return;
  Limiter->giveBack(accountKey(Caller.Name.value()), Unused, transport::now());
  perform();
}

AccountAdmission AccountExchange::preview(const Account &Caller) const {
  if (!Limiter || Caller.RatePerSecond <= 0)
    return AccountAdmitted();
  return Limiter->preview(accountKey(Caller.Name.value()), transport::now());
}

std::optional<AccountStatus>
AccountExchange::status(const Account &Subject) const {
  if (!Limiter)
    return std::nullopt;
  return Limiter->status(accountKey(Subject.Name.value()), transport::now());
}

void AccountExchange::recordRefusal(AccountKey Key, const OverLimit &Refusal) {
  const auto Found = Names.find(Key);
  if (Found == Names.end())
    return;
  NamedAccount &Target = Found->second;
  ++Target.RefusedSinceLogged;
  const Instant Now = transport::now();
  if (Now - Target.LoggedAt < LogPeriod)
    return;
  Target.LoggedAt = Now;
  Log.write(
      LogClass::Decision, "account_limited",
      {{"account", Target.Name},
       {"refused", std::exchange(Target.RefusedSinceLogged, 0)},
       {"retry_ms",
        std::chrono::duration<double, std::milli>(Refusal.RetryAfter).count()},
       {"version", Version}});
}

void AccountExchange::countCredit() {
  const auto Report = [&](std::string_view Metric, const std::string &Name,
                          std::uint64_t &Reported, std::uint64_t Total) {
    if (Total > Reported)
      Stats.count(Metric, Name, Total - Reported);
    Reported = Total;
  };
  for (auto &[Key, Target] : Names) {
    const AccountCounters *Totals = Limiter->counters(Key);
    if (!Totals)
      continue;
    AccountCounters &Before = Target.Reported;
    Report("account_credit_requested", Target.Name, Before.Requested,
           Totals->Requested);
    Report("account_credit_granted", Target.Name, Before.Granted,
           Totals->Granted);
    Report("account_refused", Target.Name, Before.Refused, Totals->Refused);
    Report("account_stock_used", Target.Name, Before.FromStock,
           Totals->FromStock);
    Report("account_floor_used", Target.Name, Before.Floor, Totals->Floor);
  }
}

} // namespace masticgap::gateway
