#include "masticgap/coordination/crash_quarantine.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Deaths of different workers that put a request into quarantine.
constexpr std::size_t DeathsToQuarantine = 2;

//! Maximum number of cleared deaths stored per request. They are stored so that
//! late copies of their rumors have no effect.
constexpr std::size_t MaxCleared = 8;

//! Dispatch time of requests for which it is unknown.
constexpr Instant SentUnknown = Instant::min();

} // namespace

CrashQuarantine::CrashQuarantine(QuarantinePolicy Rules) : Policy(Rules) {}

QuarantineAction
CrashQuarantine::workerDied(const WorkerId &Worker, Incarnation Run,
                            std::span<const InFlightRequest> InFlight,
                            Instant Now) {
  QuarantineAction Action{{}, Now + SpreadLimit};
  for (const auto &[Request, Sent] : InFlight) {
    Record &R = record(Request, Now);
    addDeath(R, {Worker, Run}, Sent, Now);
    if (!R.Quarantined && findDeath(R.Deaths, {Worker, Run}) == R.Deaths.end())
      continue;
    // A death that is known from a rumor is spread too: the caller may retry on
    // a host that the rumor has not reached yet.
    R.SpreadUntil = Action.WaitLimit;
    Action.Spread.emplace_back(RequestSuspected{Request, Worker, Run});
    if (R.Quarantined)
      Action.Spread.emplace_back(RequestQuarantined{Request});
  }
  return Action;
}

QuarantineAction
CrashQuarantine::workerDied(const WorkerId &Worker, Incarnation Run,
                            std::span<const Fingerprint> InFlight,
                            Instant Now) {
  std::vector<InFlightRequest> Requests;
  for (const Fingerprint Request : InFlight)
    Requests.push_back({Request, SentUnknown});
  return workerDied(Worker, Run, Requests, Now);
}

std::vector<Rumor> CrashQuarantine::onRumor(const Rumor &R, Instant Now) {
  if (const auto *Suspected = std::get_if<RequestSuspected>(&R)) {
    Record &Entry = record(Suspected->Request, Now);
    const bool WasQuarantined = Entry.Quarantined;
    addDeath(Entry, {Suspected->Worker, Suspected->Run}, SentUnknown, Now);
    if (!WasQuarantined && Entry.Quarantined)
      return {RequestQuarantined{Suspected->Request}};
  }
  if (const auto *Quarantined = std::get_if<RequestQuarantined>(&R)) {
    Record &Entry = record(Quarantined->Request, Now);
    if (Entry.Quarantined || Now < Entry.IgnoreRumorsUntil)
      return {};
    quarantine(Entry, Now);
  }
  if (const auto *Cleared = std::get_if<RequestCleared>(&R)) {
    Record &Entry = record(Cleared->Request, Now);
    // A copy of the suspicion may arrive after this rumor.
    const WorkerDeath Death{Cleared->Worker, Cleared->Run};
    if (findDeath(Entry.Deaths, Death) == Entry.Deaths.end())
      Entry.Deaths.push_back({Death, Now});
    clear(Entry, Now);
  }
  return {};
}

void CrashQuarantine::spreadFinished(const Rumor &R) {
  const auto *Suspected = std::get_if<RequestSuspected>(&R);
  if (!Suspected)
    return;
  const auto RecordIt = Records.find(Suspected->Request);
  if (RecordIt != Records.end())
    RecordIt->second.SpreadUntil.reset();
}

std::vector<Rumor> CrashQuarantine::recordSuccess(Fingerprint Request,
                                                  Instant Now) {
  const auto RecordIt = Records.find(Request);
  if (RecordIt == Records.end())
    return {};
  std::vector<Rumor> Rumors;
  for (const auto &[Death, Learned] : RecordIt->second.Deaths)
    Rumors.emplace_back(RequestCleared{Request, Death.Worker, Death.Run});
  clear(RecordIt->second, Now);
  return Rumors;
}

void CrashQuarantine::clear(Record &R, Instant Now) {
  for (const KnownDeath &K : R.Deaths)
    R.Cleared.push_back({K.Death, Now});
  if (R.Cleared.size() > MaxCleared)
    R.Cleared.erase(R.Cleared.begin(), R.Cleared.end() - MaxCleared);
  R.Deaths.clear();
  R.SpreadUntil.reset();
  R.Quarantined = false;
  R.NextTrial.reset();
  R.IgnoreRumorsUntil = Now + StaleRumorTime;
  R.Expires = R.IgnoreRumorsUntil;
}

DispatchGate CrashQuarantine::gate(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  if (!R)
    return DispatchGate::Open;
  if (R->Quarantined)
    return DispatchGate::Quarantined;
  return isSpreading(Request, Now) ? DispatchGate::WaitForSpread
                                   : DispatchGate::Open;
}

bool CrashQuarantine::isSpreading(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  return R && R->SpreadUntil && Now < *R->SpreadUntil;
}

std::optional<Instant> CrashQuarantine::waitLimit(Fingerprint Request) const {
  const auto RecordIt = Records.find(Request);
  return RecordIt == Records.end() ? std::nullopt
                                   : RecordIt->second.SpreadUntil;
}

bool CrashQuarantine::isQuarantined(Fingerprint Request, Instant Now) const {
  return gate(Request, Now) == DispatchGate::Quarantined;
}

bool CrashQuarantine::isSuspect(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  return R && !R->Quarantined && !R->Deaths.empty();
}

std::vector<QuarantineRecord> CrashQuarantine::records(Instant Now) const {
  std::vector<QuarantineRecord> Result;
  for (const auto &[Request, R] : Records)
    if (Now < R.Expires && (R.Quarantined || !R.Deaths.empty())) {
      QuarantineRecord Entry{Request, {}, R.Expires - Now, R.Quarantined};
      for (const KnownDeath &K : R.Deaths)
        Entry.Deaths.push_back(K.Death);
      Result.push_back(std::move(Entry));
    }
  return Result;
}

void CrashQuarantine::restore(std::span<const QuarantineRecord> PeerRecords,
                              Instant Now) {
  for (const QuarantineRecord &Entry : PeerRecords) {
    Record &R = record(Entry.Request, Now);
    const Instant EntryExpires =
        Now + std::min(Entry.Remaining, QuarantineTime);
    const Instant Expires = std::max(R.Expires, EntryExpires);
    for (const WorkerDeath &Death : Entry.Deaths)
      addDeath(R, Death, SentUnknown, Now);
    if (Entry.Quarantined && Now >= R.IgnoreRumorsUntil && !R.Quarantined)
      quarantine(R, Now);
    R.Expires = Expires;
  }
}

CrashQuarantine::Record &CrashQuarantine::record(Fingerprint Request,
                                                 Instant Now) {
  const auto RecordIt = Records.find(Request);
  if (RecordIt != Records.end()) {
    if (Now >= RecordIt->second.Expires)
      RecordIt->second = Record{};
    return RecordIt->second;
  }
  evictIfFull(Now);
  return Records[Request];
}

const CrashQuarantine::Record *CrashQuarantine::find(Fingerprint Request,
                                                     Instant Now) const {
  const auto RecordIt = Records.find(Request);
  if (RecordIt == Records.end() || Now >= RecordIt->second.Expires)
    return nullptr;
  return &RecordIt->second;
}

std::vector<CrashQuarantine::KnownDeath>::iterator
CrashQuarantine::findDeath(std::vector<KnownDeath> &Deaths,
                           const WorkerDeath &Death) {
  return std::find_if(Deaths.begin(), Deaths.end(),
                      [&](const KnownDeath &K) { return K.Death == Death; });
}

// Counts a known death again if the request was sent after this host learned of
// the death. It was then sent to a later incarnation, whose number the host
// list does not contain yet.
void CrashQuarantine::addDeath(Record &R, const WorkerDeath &Death,
                               Instant Sent, Instant Now) const {
  if (R.Quarantined)
    return;
  const auto KnownIt = findDeath(R.Deaths, Death);
  const bool IsKnown = KnownIt != R.Deaths.end();
  if (IsKnown && Sent <= KnownIt->Learned)
    return;
  const auto ClearedIt = findDeath(R.Cleared, Death);
  const bool WasCleared = ClearedIt != R.Cleared.end();
  if (WasCleared && Sent <= ClearedIt->Learned)
    return;
  const bool IsConcurrent = std::ranges::any_of(
      R.Deaths, [&](const KnownDeath &K) { return Sent <= K.Learned; });
  if (!Policy.CountConcurrentDeaths && Sent != SentUnknown && IsConcurrent)
    return;
  if (WasCleared)
    R.Cleared.erase(ClearedIt);
  R.Deaths.push_back({Death, Now});
  R.Expires = Now + QuarantineTime;
  if (R.Deaths.size() >= DeathsToQuarantine)
    quarantine(R, Now);
}

void CrashQuarantine::quarantine(Record &R, Instant Now) const {
  R.Quarantined = true;
  R.Expires = Now + QuarantineTime;
  R.TrialInterval = Policy.FirstTrial.value_or(Duration(0));
  if (Policy.FirstTrial)
    R.NextTrial = Now + R.TrialInterval;
}

bool CrashQuarantine::takeTrial(Fingerprint Request, Instant Now) {
  if (!isTrialDue(Request, Now))
    return false;
  Record &R = Records.at(Request);
  R.TrialInterval *= Policy.TrialFactor;
  R.NextTrial = Now + R.TrialInterval;
  return true;
}

bool CrashQuarantine::isTrialDue(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  return R && isQuarantined(Request, Now) && R->NextTrial &&
         Now >= *R->NextTrial;
}

Duration CrashQuarantine::untilTrial(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  return R && R->NextTrial ? std::max(Duration(0), *R->NextTrial - Now)
                           : Duration(0);
}

void CrashQuarantine::evictIfFull(Instant Now) {
  if (Records.size() < Policy.MaxRequests)
    return;
  std::erase_if(Records,
                [Now](const auto &Item) { return Now >= Item.second.Expires; });
  if (Records.size() < Policy.MaxRequests)
    return;
  // Evicts suspects before quarantined requests, and older records first.
  const auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return std::pair(A.second.Quarantined, A.second.Expires) <
               std::pair(B.second.Quarantined, B.second.Expires);
      });
  Records.erase(Oldest);
}

} // namespace masticgap::coordination
