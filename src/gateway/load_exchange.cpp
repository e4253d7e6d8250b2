#include "gateway/load_exchange.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace masticgap::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace coordination;

namespace {

//! First bytes of a datagram: format of the message.
constexpr std::uint16_t Mark = 0x1d01;

//! Returns the size class that a member announces.
unsigned sizeClass(const MemberRecord &Member) { return Member.SizeClass; }

//! Entries of a message by column. Columns are encoded as a whole, which takes
//! less time than field by field.
struct Columns {
  std::array<std::uint32_t, MaxLoadEntries> Workers{};
  std::array<std::uint8_t, MaxLoadEntries> Busy{};
  std::array<std::uint8_t, MaxLoadEntries> Factors{};
  std::array<std::uint8_t, MaxLoadEntries> Ages{};

  template <class Archive> void serialize(Archive &Ar, std::size_t Count) {
    Ar(cereal::binary_data(Workers.data(), Count * sizeof(Workers[0])),
       cereal::binary_data(Busy.data(), Count),
       cereal::binary_data(Factors.data(), Count),
       cereal::binary_data(Ages.data(), Count));
  }
};

} // namespace

std::string encodeLoadMessage(const LoadMessage &Message) {
  Columns Data;
  const std::size_t Count = std::min(Message.Entries.size(), MaxLoadEntries);
  for (std::size_t I = 0; I < Count; ++I) {
    const LoadEntry &Entry = Message.Entries[I];
    Data.Workers.at(I) = Entry.Worker;
    Data.Busy.at(I) = Entry.Busy;
    Data.Factors.at(I) = Entry.Factor;
    Data.Ages.at(I) = Entry.Age;
  }
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Ar(Out);
    Ar(Mark, static_cast<std::uint8_t>(Message.Source),
       static_cast<std::uint8_t>(Count));
    Data.serialize(Ar, Count);
  }
  return std::move(Out).str();
}

std::optional<LoadMessage> decodeLoadMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxLoadDatagramBytes)
    return std::nullopt;
  try {
    std::istringstream In{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Ar(In);
    std::uint16_t Format = 0;
    std::uint8_t Source = 0;
    std::uint8_t Count = 0;
    Ar(Format, Source, Count);
    if (Format != Mark || Count > MaxLoadEntries ||
        Source > static_cast<std::uint8_t>(LoadSource::Region))
      return std::nullopt;
    Columns Data;
    Data.serialize(Ar, Count);
    if (In.peek() != std::istringstream::traits_type::eof())
      return std::nullopt;
    LoadMessage Result{static_cast<LoadSource>(Source), {}};
    Result.Entries.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Result.Entries.push_back({Data.Workers.at(I), Data.Busy.at(I),
                                Data.Factors.at(I), Data.Ages.at(I)});
    return Result;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

LoadExchange::LoadExchange(asio::io_context &Io,
                           const GatewaySettings &Settings,
                           Dispatcher &Dispatch, DecisionLog &Log,
                           Metrics &Stats, TrafficAccount &Network)
    : Io(Io), Settings(Settings), Dispatch(Dispatch), Log(Log), Stats(Stats),
      Network(Network), Socket(Io), Timer(Io) {}

LoadExchange::~LoadExchange() = default;

void LoadExchange::setMembers(Members Source) {
  MemberSource = std::move(Source);
  membersChanged();
}

void LoadExchange::recordOwn(const WorkerId &Worker,
                             const QueueReport &Report) {
  if (Settings.LoadExchange == LoadExchangeMode::Off ||
      (Settings.LoadExchange == LoadExchangeMode::Auto &&
       !Report.HasWorkFactor))
    return;
  if (!Sharing)
    begin();
  if (!isActive())
    return;
  Sharing->recordOwn(
      {loadKey(Worker),
       {Report.Running + Report.Waiting, Report.WorkFactor, transport::now()}});
  armTimer();
}

void LoadExchange::begin() {
  Sharing.emplace(Settings.Host, Settings.Region, Settings.Domain, sizeClass);
  if (!openSocket())
    return;
  Dispatch.setLoadExchange(true);
  readMembers();
  receive();
}

bool LoadExchange::openSocket() {
  error_code Failed;
  const auto Address = asio::ip::make_address(Settings.Traffic.Address, Failed);
  const Udp::endpoint Local(Address, Settings.loadPort());
  if (!Failed)
    Socket.open(Local.protocol(), Failed);
  if (!Failed)
    Socket.bind(Local, Failed);
  if (!Failed)
    Socket.non_blocking(true, Failed);
  if (!Failed)
    return true;
  error_code Ignored;
  Socket.close(Ignored);
  Log.write(
      LogClass::Decision, "load_port_failed",
      {{"port", unsigned{Settings.loadPort()}}, {"error", Failed.message()}});
  return false;
}

void LoadExchange::membersChanged() {
  if (!isActive() || std::exchange(MembersPending, true))
    return;
  asio::post(Io, [this, Weak = std::weak_ptr(Alive)] {
    if (Weak.expired())
      return;
    MembersPending = false;
    if (isActive())
      readMembers();
  });
}

void LoadExchange::readMembers() {
  if (!MemberSource)
    return;
  const std::span<const MemberRecord> All = MemberSource();
  Peers.clear();
  PeerHosts.clear();
  for (const MemberRecord &Member : All) {
    if (!isLive(Member) || Member.Host.Id == Settings.Host ||
        Member.Host.Region != Settings.Region)
      continue;
    error_code Failed;
    const auto Address = asio::ip::make_address(Member.Host.Address, Failed);
    if (Failed)
      continue;
    const Udp::endpoint At(Address, Settings.loadPort());
    Peers.emplace(Member.Host.Id, At);
    PeerHosts.emplace(At, Member.Host.Id);
  }
  if (Sharing->setMembers(All))
    Log.write(LogClass::Decision, "load_gatherer",
              {{"domain", Settings.Domain.value()},
               {"gatherer", Sharing->gatherer().value()},
               {"self", Sharing->isGatherer()}});
}

void LoadExchange::receive() {
  if (!isActive())
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
        if (Failed || !isActive())
          return;
        onReceived(Size);
        receive();
      });
}

void LoadExchange::onReceived(std::size_t Size) {
  const auto From = PeerHosts.find(Sender);
  if (From == PeerHosts.end()) {
    ++Since.Sender;
    return;
  }
  const auto Message = decodeLoadMessage({Buffer.data(), Size});
  if (!Message) {
    ++Since.Malformed;
    return;
  }
  Since.Received += Message->Entries.size();
  const auto Usable = Sharing->handle(From->second, *Message, transport::now());
  if (!Usable) {
    ++Since.Sender;
    return;
  }
  apply(*Usable);
  armTimer();
}

void LoadExchange::apply(const std::vector<WorkerLoad> &Loads) {
  const Instant Now = transport::now();
  for (const WorkerLoad &Load : Loads) {
    switch (Dispatch.recordPeerReport(Load, Now)) {
    case PeerReportResult::Applied:
      ++Since.Applied;
      Since.AppliedAgeMs += static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Now - Load.Report.ReportedAt)
              .count());
      break;
    case PeerReportResult::Unknown:
      ++Since.Unknown;
      break;
    case PeerReportResult::Superseded:
      ++Since.Older;
      break;
    case PeerReportResult::Expired:
      ++Since.Expired;
      break;
    }
  }
}

// The timer runs only while there is something to send, so that an idle host
// does not wake up.
void LoadExchange::armTimer() {
  if (TimerArmed || !isActive() || !Sharing->hasReports())
    return;
  TimerArmed = true;
  const Instant Due = LastSentAt + Settings.LoadPeriod;
  Timer.expires_after(std::max(Duration(0), Due - transport::now()));
  Timer.async_wait([this, Weak = std::weak_ptr(Alive)](error_code Failed) {
    if (Weak.expired())
      return;
    TimerArmed = false;
    if (Failed || !isActive())
      return;
    sendReports();
    armTimer();
  });
}

void LoadExchange::sendReports() {
  LastSentAt = transport::now();
  for (const OutgoingLoad &Each : Sharing->takeMessages(LastSentAt)) {
    const auto To = Peers.find(Each.To);
    if (To == Peers.end())
      continue;
    const std::string Bytes = encodeLoadMessage(Each.What);
    // A datagram that does not fit into the socket buffer is lost like any
    // other.
    error_code Ignored;
    Socket.send_to(asio::buffer(Bytes), To->second, 0, Ignored);
    Since.Sent += Each.What.Entries.size();
    Network.countPeer("load", To->second.address().to_string(), Bytes.size());
  }
}

void LoadExchange::tick() {
  if (!Sharing)
    return;
  updateMetrics();
  if (Settings.LoadExchange == LoadExchangeMode::Off) {
    stop();
    Sharing.reset();
    return;
  }
  if (!Receiving)
    receive();
}

void LoadExchange::updateMetrics() {
  const Counts Now = std::exchange(Since, Counts());
  const std::pair<const char *, std::uint64_t> Kinds[] = {
      {"sent", Now.Sent},           {"received", Now.Received},
      {"applied", Now.Applied},     {"dropped_unknown_worker", Now.Unknown},
      {"dropped_older", Now.Older}, {"dropped_expired", Now.Expired}};
  for (const auto &[Kind, Number] : Kinds)
    if (Number > 0)
      Stats.count("load_reports", Kind, Number);
  if (Now.AppliedAgeMs > 0)
    Stats.count("load_report_age_ms", "applied", Now.AppliedAgeMs);
  if (Now.Malformed > 0)
    Stats.count("load_datagrams", "dropped_malformed", Now.Malformed);
  if (Now.Sender > 0)
    Stats.count("load_datagrams", "dropped_sender", Now.Sender);
}

void LoadExchange::stop() {
  error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
  Dispatch.setLoadExchange(false);
}

} // namespace masticgap::gateway
