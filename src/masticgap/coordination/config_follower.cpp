#include "masticgap/coordination/config_follower.hpp"

#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/state/captured.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Maximum number of reads after a notice. The store may never return the
//! version that was announced, for example after a restore.
constexpr unsigned MaxNotifiedReads = 10;
//! Maximum number of stored problem messages, which limits their memory.
constexpr std::size_t MaxReported = 256;
//! After all peers failed, they are queried again after this many times the
//! fetch retry time.
constexpr int ExhaustedRetryFactor = 5;
//! Jitter of intervals, as a share of their length.
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
  // The version may decrease: a peer has no document after a restart.
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
  ReadAgain = OpenReadCall != 0;
}

void ConfigFollower::on(const ConfigStoreAnswered &E, Instant Now) {
  if (const auto *Row = std::get_if<StoreRow>(&E.Answer)) {
    if (Row->CallId == OpenReadCall)
      onRow(*Row, Now);
    return;
  }
  const auto *Lost = std::get_if<StoreLost>(&E.Answer);
  if (Lost && Lost->CallId == OpenReadCall)
    onReadLost(Now);
}

void ConfigFollower::onRow(const StoreRow &Row, Instant Now) {
  OpenReadCall = 0;
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
  // Rows are read twice a second, so unchanged rows are not parsed again.
  if (Row.Version != ParsedRowVersion)
    ParsedVersion = processDocument(Row.Value, "the store", Now);
  ParsedRowVersion = Row.Version;
  if (ParsedVersion == version() && Document)
    Confirmed = Now;
}

void ConfigFollower::onReadLost(Instant Now) {
  OpenReadCall = 0;
  ReadAgain = false;
  StoreReachable = false;
  Backoff = std::clamp(Backoff * 2, Times.PollInterval, Times.MaxBackoff);
  NextRead = Now + jittered(Backoff);
}

void ConfigFollower::on(const ConfigDocumentReceived &E, Instant Now) {
  if (E.CallId != OpenFetchCall)
    return;
  const std::uint64_t Before = version();
  processDocument(E.Json, "peer " + FetchPeer.value(), Now);
  onFetchEnd(version() > Before, Now);
}

void ConfigFollower::on(const ConfigFetchFailed &E, Instant Now) {
  if (E.CallId == OpenFetchCall)
    onFetchEnd(false, Now);
}

void ConfigFollower::onFetchEnd(bool Advanced, Instant Now) {
  OpenFetchCall = 0;
  if (Advanced)
    return;
  FailedPeers.insert(FetchPeer);
  NextFetch = Now + jittered(Times.FetchRetry);
  if (!peersToAsk().empty())
    return;
  FailedPeers.clear();
  PeersExhausted = true;
  NextFetch = Now + jittered(Times.FetchRetry * ExhaustedRetryFactor);
}

std::uint64_t ConfigFollower::processDocument(std::string_view Json,
                                              const std::string &Source,
                                              Instant Now) {
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
  if (OpenReadCall != 0 || !wantsStore() || Now < NextRead)
    return;
  OpenReadCall = ++LastCallId;
  Actions.emplace_back(ReadConfigRow{StoreRead{
      OpenReadCall, std::string(ConfigTable), std::string(ConfigCurrentKey)}});
}

void ConfigFollower::fetchIfDue(Instant Now) {
  if (OpenFetchCall != 0 || Now < NextFetch)
    return;
  const std::vector<HostId> Peers = peersToAsk();
  if (Peers.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Peers.size() - 1);
  FetchPeer = Peers[Pick(Random)];
  OpenFetchCall = ++LastCallId;
  Actions.emplace_back(FetchConfig{OpenFetchCall, FetchPeer});
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
  if (OpenReadCall == 0 && wantsStore())
    Next = std::min(Next, NextRead);
  if (OpenFetchCall == 0 && !peersToAsk().empty())
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
