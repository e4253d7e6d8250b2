#include "masticgap/coordination/config_follower.hpp"

#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/state/captured.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! A notice of a version that the store never shows, for example after a
//! restore, stops causing reads after this number.
constexpr unsigned MaxNotifiedReads = 10;
//! Bound of the memory for problems that were reported.
constexpr std::size_t MaxReported = 256;
//! Once all peers failed, they are asked again after this many retry times.
constexpr int ExhaustedRetries = 5;
constexpr double JitterShare = 0.1;

} // namespace

std::vector<ConfigAction> ConfigFollower::handle(const ConfigEvent &Event,
                                                 Instant Now) {
  std::visit([&](const auto &E) { on(E, Now); }, Event);
  readIfDue(Now);
  fetchIfDue(Now);
  return std::exchange(Actions, {});
}

void ConfigFollower::on(const ConfigTick &, Instant) {}

void ConfigFollower::on(const ConfigMembersChanged &E, Instant) {
  std::vector<LiveHost> Live = E.Live;
  Live.push_back({Self, Domain});
  Reader = chooseConfigReader(Live, Domain) == Self;
  std::erase_if(PeerVersions, [&](const auto &Peer) {
    return std::none_of(Live.begin(), Live.end(), [&](const LiveHost &Host) {
      return Host.Id == Peer.first;
    });
  });
}

void ConfigFollower::on(const PeerConfigVersion &E, Instant Now) {
  if (E.Peer == Self)
    return;
  // The latest word counts: a peer that restarted has no document again.
  PeerVersions[E.Peer] = E.Version;
  if (E.Version == version())
    Confirmed = Now;
}

void ConfigFollower::on(const ConfigNotified &E, Instant Now) {
  if (E.Version <= version())
    return;
  Notified = std::max(Notified, E.Version);
  NotifiedReads = MaxNotifiedReads;
  NextRead = Now;
  ReadAgain = OpenRead != 0;
}

void ConfigFollower::on(const ConfigStoreAnswered &E, Instant Now) {
  if (const auto *Row = std::get_if<StoreRow>(&E.Answer)) {
    if (Row->CallId == OpenRead)
      onRow(*Row, Now);
    return;
  }
  const auto *Lost = std::get_if<StoreLost>(&E.Answer);
  if (Lost && Lost->CallId == OpenRead)
    onReadLost(Now);
}

void ConfigFollower::onRow(const StoreRow &Row, Instant Now) {
  OpenRead = 0;
  StoreReachable = true;
  Backoff = Duration{0};
  NextRead = Now + jittered(Times.PollInterval);
  if (std::exchange(ReadAgain, false))
    NextRead = Now;
  else if (NotifiedReads > 0)
    --NotifiedReads;
  if (!Row.Found) {
    if (Document)
      report(ErrorKind::Unavailable, "the store has no configuration row",
             "restore it with masticgap-ctl apply");
    return;
  }
  // Rows are read twice a second; an unchanged row is not parsed again.
  if (Row.Version != SeenRow)
    SeenVersion = offer(Row.Value, "the store", Now);
  SeenRow = Row.Version;
  if (SeenVersion == version() && Document)
    Confirmed = Now;
}

void ConfigFollower::onReadLost(Instant Now) {
  OpenRead = 0;
  ReadAgain = false;
  StoreReachable = false;
  Backoff = std::clamp(Backoff * 2, Times.PollInterval, Times.MaxBackoff);
  NextRead = Now + jittered(Backoff);
}

void ConfigFollower::on(const ConfigDocumentReceived &E, Instant Now) {
  if (E.CallId != OpenFetch)
    return;
  const std::uint64_t Before = version();
  offer(E.Json, "peer " + AskedPeer.value(), Now);
  onFetchEnd(version() > Before, Now);
}

void ConfigFollower::on(const ConfigFetchFailed &E, Instant Now) {
  if (E.CallId == OpenFetch)
    onFetchEnd(false, Now);
}

void ConfigFollower::onFetchEnd(bool Advanced, Instant Now) {
  OpenFetch = 0;
  if (Advanced)
    return;
  FailedPeers.insert(AskedPeer);
  NextFetch = Now + jittered(Times.FetchRetry);
  if (!peersToAsk().empty())
    return;
  FailedPeers.clear();
  PeersExhausted = true;
  NextFetch = Now + jittered(Times.FetchRetry * ExhaustedRetries);
}

std::uint64_t ConfigFollower::offer(std::string_view Json,
                                    const std::string &Source, Instant Now) {
  auto Parsed =
      capture<ConfigDocument>([&] { return parseConfigDocument(Json); });
  if (const Error *E = std::get_if<Error>(&Parsed)) {
    report(E->Kind,
           "the configuration from " + Source + " is refused: " + E->Message,
           E->Remedy);
    return 0;
  }
  auto &New = std::get<ConfigDocument>(Parsed);
  const std::uint64_t Offered = New.Version;
  if (Offered > version()) {
    accept(std::move(New), Now);
    return Offered;
  }
  if (Offered < version()) {
    report(ErrorKind::Conflict,
           "the configuration from " + Source + " has the older version " +
               std::to_string(Offered),
           "version " + std::to_string(version()) +
               " stays in force; make a new change with masticgap-ctl if the "
               "store was restored");
    return Offered;
  }
  if (New.ChangeId == Document->ChangeId)
    return Offered;
  report(ErrorKind::Conflict,
         "the configuration from " + Source + " has the version " +
             std::to_string(Offered) + " with another change, " + New.ChangeId,
         "change " + Document->ChangeId +
             " stays in force; publish a newer version with masticgap-ctl");
  return 0;
}

void ConfigFollower::accept(ConfigDocument New, Instant Now) {
  Document = std::make_shared<const ConfigDocument>(std::move(New));
  Confirmed = Now;
  FailedPeers.clear();
  PeersExhausted = false;
  NextFetch = Now;
  Actions.emplace_back(AcceptConfig{Document});
}

void ConfigFollower::readIfDue(Instant Now) {
  if (OpenRead != 0 || !wantsStore() || Now < NextRead)
    return;
  OpenRead = ++LastCallId;
  Actions.emplace_back(ReadConfigRow{StoreRead{
      OpenRead, std::string(ConfigTable), std::string(ConfigCurrentKey)}});
}

void ConfigFollower::fetchIfDue(Instant Now) {
  if (OpenFetch != 0 || Now < NextFetch)
    return;
  const std::vector<HostId> Peers = peersToAsk();
  if (Peers.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Peers.size() - 1);
  AskedPeer = Peers[Pick(Random)];
  OpenFetch = ++LastCallId;
  Actions.emplace_back(FetchConfig{OpenFetch, AskedPeer});
}

void ConfigFollower::report(ErrorKind Kind, std::string Message,
                            std::string Remedy) {
  if (Reported.size() >= MaxReported)
    Reported.clear();
  if (Reported.insert(Message).second)
    Actions.emplace_back(ReportConfigProblem{
        Error{Kind, std::move(Message), std::move(Remedy)}});
}

bool ConfigFollower::wantsStore() const {
  if (Reader)
    return true;
  if (Notified > version() && NotifiedReads > 0)
    return true;
  return PeersExhausted && newestKnown() > version();
}

std::uint64_t ConfigFollower::newestKnown() const {
  std::uint64_t Newest = Notified;
  for (const auto &[Peer, Version] : PeerVersions)
    Newest = std::max(Newest, Version);
  return Newest;
}

std::vector<HostId> ConfigFollower::peersToAsk() const {
  std::vector<HostId> Peers;
  std::uint64_t Newest = version() + 1;
  for (const auto &[Peer, Version] : PeerVersions) {
    if (Version < Newest || FailedPeers.contains(Peer))
      continue;
    if (Version > Newest)
      Peers.clear();
    Newest = Version;
    Peers.push_back(Peer);
  }
  return Peers;
}

Duration ConfigFollower::jittered(Duration D) {
  std::uniform_real_distribution<double> Factor(1 - JitterShare,
                                                1 + JitterShare);
  return std::chrono::duration_cast<Duration>(D * Factor(Random));
}

Instant ConfigFollower::nextTick() const {
  Instant Next = Instant::max();
  if (OpenRead == 0 && wantsStore())
    Next = std::min(Next, NextRead);
  if (OpenFetch == 0 && !peersToAsk().empty())
    Next = std::min(Next, NextFetch);
  return Next;
}

ConfigHealth ConfigFollower::health(Instant Now) const {
  ConfigHealth H;
  H.Version = version();
  H.NewestKnown = newestKnown();
  H.Reader = Reader;
  H.StoreReachable = StoreReachable;
  H.CutOff = !Confirmed || Now - *Confirmed > Times.CutOffAfter;
  return H;
}

ConfigFollower::Builder::Builder(HostId Self, FailureDomainName Domain)
    : Self(std::move(Self)), Domain(std::move(Domain)) {}

ConfigFollower::Builder &ConfigFollower::Builder::seed(std::uint64_t Value) {
  Seed = Value;
  return *this;
}

ConfigFollower::Builder &
ConfigFollower::Builder::times(const ConfigFollowerTimes &Value) {
  Times = Value;
  return *this;
}

ConfigFollower ConfigFollower::Builder::build() const {
  ConfigFollower F;
  F.Self = Self;
  F.Domain = Domain;
  F.Times = Times;
  F.Random.seed(Seed);
  return F;
}

} // namespace masticgap::coordination
