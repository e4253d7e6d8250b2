#include "masticgap/coordination/crash_quarantine.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Deaths of different workers that put a request into quarantine.
constexpr std::size_t DeathsToQuarantine = 2;

//! Deaths before a success that are remembered per request, so that late copies
//! of their rumors change nothing.
constexpr std::size_t MaxCleared = 8;

//! Dispatch time of requests for which it is not known.
constexpr Instant NotKnown = Instant::min();

} // namespace

CrashQuarantine::CrashQuarantine(QuarantineLimits Bounds) : Limits(Bounds) {}

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
    // Spread also what a rumor told this host: its caller may go on to a host
    // that the rumor has not reached yet.
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
    Requests.push_back({Request, NotKnown});
  return workerDied(Worker, Run, Requests, Now);
}

std::vector<Rumor> CrashQuarantine::onRumor(const Rumor &R, Instant Now) {
  if (const auto *Suspected = std::get_if<RequestSuspected>(&R)) {
    Record &Known = record(Suspected->Request, Now);
    const bool Before = Known.Quarantined;
    addDeath(Known, {Suspected->Worker, Suspected->Run}, NotKnown, Now);
    if (!Before && Known.Quarantined)
      return {RequestQuarantined{Suspected->Request}};
  }
  if (const auto *Quarantined = std::get_if<RequestQuarantined>(&R)) {
    Record &Known = record(Quarantined->Request, Now);
    if (Known.Quarantined || Now < Known.IgnoreRumorsUntil)
      return {};
    Known.Quarantined = true;
    Known.Expires = Now + QuarantineTime;
  }
  if (const auto *Cleared = std::get_if<RequestCleared>(&R)) {
    Record &Known = record(Cleared->Request, Now);
    // A copy of the suspicion may arrive after this.
    const WorkerDeath Death{Cleared->Worker, Cleared->Run};
    if (findDeath(Known.Deaths, Death) == Known.Deaths.end())
      Known.Deaths.push_back({Death, Now});
    clear(Known, Now);
  }
  return {};
}

void CrashQuarantine::spreadFinished(const Rumor &R) {
  const auto *Suspected = std::get_if<RequestSuspected>(&R);
  if (!Suspected)
    return;
  const auto Found = Records.find(Suspected->Request);
  if (Found != Records.end())
    Found->second.SpreadUntil.reset();
}

std::vector<Rumor> CrashQuarantine::recordSuccess(Fingerprint Request,
                                                  Instant Now) {
  const auto Found = Records.find(Request);
  if (Found == Records.end())
    return {};
  std::vector<Rumor> News;
  for (const auto &[Death, Learned] : Found->second.Deaths)
    News.emplace_back(RequestCleared{Request, Death.Worker, Death.Run});
  clear(Found->second, Now);
  return News;
}

void CrashQuarantine::clear(Record &R, Instant Now) {
  for (const KnownDeath &Known : R.Deaths)
    R.Cleared.push_back({Known.Death, Now});
  if (R.Cleared.size() > MaxCleared)
    R.Cleared.erase(R.Cleared.begin(), R.Cleared.end() - MaxCleared);
  R.Deaths.clear();
  R.SpreadUntil.reset();
  R.Quarantined = false;
  R.IgnoreRumorsUntil = Now + RumorLifetime;
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
  const auto Found = Records.find(Request);
  return Found == Records.end() ? std::nullopt : Found->second.SpreadUntil;
}

bool CrashQuarantine::isQuarantined(Fingerprint Request, Instant Now) const {
  return gate(Request, Now) == DispatchGate::Quarantined;
}

bool CrashQuarantine::isSuspect(Fingerprint Request, Instant Now) const {
  const Record *R = find(Request, Now);
  return R && !R->Quarantined && !R->Deaths.empty();
}

std::vector<QuarantineFact> CrashQuarantine::facts(Instant Now) const {
  std::vector<QuarantineFact> Facts;
  for (const auto &[Request, R] : Records)
    if (Now < R.Expires && (R.Quarantined || !R.Deaths.empty())) {
      QuarantineFact Fact{Request, {}, R.Expires - Now, R.Quarantined};
      for (const KnownDeath &Known : R.Deaths)
        Fact.Deaths.push_back(Known.Death);
      Facts.push_back(std::move(Fact));
    }
  return Facts;
}

void CrashQuarantine::restore(std::span<const QuarantineFact> Facts,
                              Instant Now) {
  for (const QuarantineFact &Fact : Facts) {
    Record &R = record(Fact.Request, Now);
    const Instant Until = Now + std::min(Fact.Remaining, QuarantineTime);
    const Instant Expires = std::max(R.Expires, Until);
    for (const WorkerDeath &Death : Fact.Deaths)
      addDeath(R, Death, NotKnown, Now);
    if (Fact.Quarantined && Now >= R.IgnoreRumorsUntil)
      R.Quarantined = true;
    R.Expires = Expires;
  }
}

CrashQuarantine::Record &CrashQuarantine::record(Fingerprint Request,
                                                 Instant Now) {
  const auto Found = Records.find(Request);
  if (Found != Records.end()) {
    if (Now >= Found->second.Expires)
      Found->second = Record{};
    return Found->second;
  }
  makeRoom(Now);
  return Records[Request];
}

const CrashQuarantine::Record *CrashQuarantine::find(Fingerprint Request,
                                                     Instant Now) const {
  const auto Found = Records.find(Request);
  if (Found == Records.end() || Now >= Found->second.Expires)
    return nullptr;
  return &Found->second;
}

std::vector<CrashQuarantine::KnownDeath>::iterator
CrashQuarantine::findDeath(std::vector<KnownDeath> &Deaths,
                           const WorkerDeath &Death) {
  return std::find_if(Deaths.begin(), Deaths.end(),
                      [&](const KnownDeath &K) { return K.Death == Death; });
}

// A request that was sent after this host knew of the death was in flight on a
// later run of the worker: the host list that names the runs lags.
void CrashQuarantine::addDeath(Record &R, const WorkerDeath &Death,
                               Instant Sent, Instant Now) {
  if (R.Quarantined)
    return;
  const auto Known = findDeath(R.Deaths, Death);
  const bool IsKnown = Known != R.Deaths.end();
  if (IsKnown && Sent <= Known->Learned)
    return;
  const auto Cleared = findDeath(R.Cleared, Death);
  const bool WasCleared = Cleared != R.Cleared.end();
  if (WasCleared && Sent <= Cleared->Learned)
    return;
  if (WasCleared)
    R.Cleared.erase(Cleared);
  R.Deaths.push_back({Death, Now});
  R.Expires = Now + QuarantineTime;
  R.Quarantined = R.Deaths.size() >= DeathsToQuarantine;
}

void CrashQuarantine::makeRoom(Instant Now) {
  if (Records.size() < Limits.MaxRequests)
    return;
  std::erase_if(Records,
                [Now](const auto &Item) { return Now >= Item.second.Expires; });
  if (Records.size() < Limits.MaxRequests)
    return;
  // Suspects go before quarantined requests, and older ones first.
  const auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return std::pair(A.second.Quarantined, A.second.Expires) <
               std::pair(B.second.Quarantined, B.second.Expires);
      });
  Records.erase(Oldest);
}

} // namespace masticgap::coordination
