#pragma once

#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/coordination/rumor.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticgap::coordination {

//! Time for which a quarantined request is refused, and for which a suspicion
//! is stored.
inline constexpr Duration QuarantineTime = std::chrono::minutes(10);

//! Maximum wait for peers to acknowledge a suspicion or a quarantine.
inline constexpr Duration SpreadLimit = std::chrono::milliseconds(300);

//! Time after a success during which quarantine rumors are treated as stale and
//! ignored.
inline constexpr Duration StaleRumorTime = std::chrono::seconds(30);

//! Rules of a quarantine.
struct QuarantinePolicy {
  std::size_t MaxRequests = 4096; //!< Maximum number of records.
  //! Whether deaths with the request in flight on several workers at the same
  //! time count separately. If the fingerprint is shared by many callers, they
  //! count as one: a failure of many workers hits many copies of a harmless
  //! request at once, but only a request that crashes workers is also lost when
  //! it is sent again.
  bool CountConcurrentDeaths = true;
  //! Time from the beginning of a quarantine to the first trial; no trials if
  //! unset. Each further interval is TrialFactor times as long.
  std::optional<Duration> FirstTrial = std::nullopt;
  int TrialFactor = 4;
};

//! Incarnation of a worker that died with a request in flight.
struct WorkerDeath {
  WorkerId Worker;
  Incarnation Run;

  friend bool operator==(const WorkerDeath &, const WorkerDeath &) = default;
};

//! Request in flight on a worker.
struct InFlightRequest {
  Fingerprint Request;
  Instant Sent; //!< When it was dispatched to the worker.
};

//! State of one request, to be transferred to a new host.
struct QuarantineRecord {
  Fingerprint Request;
  std::vector<WorkerDeath> Deaths;
  Duration Remaining{0}; //!< Time until the record expires.
  bool Quarantined = false;
};

//! Actions that follow the death of a worker.
struct QuarantineAction {
  //! Urgent rumors. spreadFinished() is to be called for each RequestSuspected
  //! that peers have acknowledged; it ignores others.
  std::vector<Rumor> Spread;
  //! Latest time at which the callers of the requests in flight are answered or
  //! the requests are retried; earlier if the spread is finished before.
  Instant WaitLimit;
};

//! Whether the quarantine permits the dispatch of a request.
enum class DispatchGate {
  Open,
  WaitForSpread, //!< Wait until the spread is finished, at most until
                 //!< waitLimit().
  Quarantined    //!< Reject. The outcome is NotRun only if no earlier attempt
                 //!< may have run.
};

//! Quarantines a request that crashes workers, after it crashed two of them.
class CrashQuarantine {
public:
  explicit CrashQuarantine(QuarantinePolicy Rules = {});

  //! Records that a worker's process died, or that its connection broke before
  //! the answer.
  //! \param InFlight requests of this host that were in flight on the worker,
  //! and requests that timed out on it if it has not answered since the
  //! timeout.
  QuarantineAction workerDied(const WorkerId &Worker, Incarnation Run,
                              std::span<const InFlightRequest> InFlight,
                              Instant Now);

  //! Records a death with requests whose dispatch time is unknown.
  //! \param Run incarnation as reported by the worker itself. That in the host
  //! list may be outdated, and two deaths of one incarnation count once.
  QuarantineAction workerDied(const WorkerId &Worker, Incarnation Run,
                              std::span<const Fingerprint> InFlight,
                              Instant Now);

  //! Applies a rumor from another host; rumors that are not about requests are
  //! ignored.
  //! \returns rumors to spread: if two hosts each saw one death, the quarantine
  //! begins on the first host that knows of both.
  std::vector<Rumor> onRumor(const Rumor &R, Instant Now);

  //! Records that peers acknowledged a RequestSuspected of this host; other
  //! rumors are ignored.
  void spreadFinished(const Rumor &R);

  //! Records that a worker answered the request, so it does not crash every
  //! worker.
  //! \returns rumors that clear the suspicion on other hosts. Hosts that reject
  //! the request would never see it succeed themselves.
  std::vector<Rumor> recordSuccess(Fingerprint Request, Instant Now);

  //! Returns whether the request may be dispatched; called before each attempt.
  DispatchGate gate(Fingerprint Request, Instant Now) const;

  //! Returns the end of the wait if gate() returns WaitForSpread or
  //! isSpreading() is true.
  std::optional<Instant> waitLimit(Fingerprint Request) const;

  //! Returns whether a caller still has to wait for its answer because peers
  //! have not acknowledged a death. Unlike gate(), this also covers a request
  //! that the death put into quarantine.
  bool isSpreading(Fingerprint Request, Instant Now) const;

  bool isQuarantined(Fingerprint Request, Instant Now) const;

  //! Takes the trial of a quarantined request if one is due: one copy may be
  //! sent, so that a harmless request does not stay quarantined. One host of
  //! the fleet is to call this for a request; its success or the death of the
  //! worker is spread as for other requests.
  //! \returns whether the request may be sent once.
  bool takeTrial(Fingerprint Request, Instant Now);
  //! Returns whether takeTrial() would permit to send the request.
  bool isTrialDue(Fingerprint Request, Instant Now) const;
  //! Returns the time until the next trial; zero if none is scheduled.
  Duration untilTrial(Fingerprint Request, Instant Now) const;

  bool isSuspect(Fingerprint Request, Instant Now) const;

  //! Returns all records that have not expired. A host that is new or was
  //! paused has to restore() those of a peer before it dispatches, because it
  //! missed rumors.
  std::vector<QuarantineRecord> records(Instant Now) const;
  //! Merges the records of a peer into this host's.
  void restore(std::span<const QuarantineRecord> PeerRecords, Instant Now);

  //! Returns the number of stored records.
  std::size_t size() const { return Records.size(); }

private:
  struct KnownDeath {
    WorkerDeath Death;
    Instant Learned; //!< When this host learned of it, or cleared it.
  };
  struct Record {
    std::vector<KnownDeath> Deaths;
    std::vector<KnownDeath> Cleared; //!< Deaths before the last success.
    Instant Expires;
    Instant IgnoreRumorsUntil;
    std::optional<Instant> SpreadUntil;
    std::optional<Instant> NextTrial;
    Duration TrialInterval{0};
    bool Quarantined = false;
  };

  Record &record(Fingerprint Request, Instant Now);
  const Record *find(Fingerprint Request, Instant Now) const;
  static std::vector<KnownDeath>::iterator
  findDeath(std::vector<KnownDeath> &Deaths, const WorkerDeath &Death);
  static void clear(Record &R, Instant Now);
  void addDeath(Record &R, const WorkerDeath &Death, Instant Sent,
                Instant Now) const;
  void quarantine(Record &R, Instant Now) const;
  //! Removes a record if the limit is reached.
  void evictIfFull(Instant Now);

  QuarantinePolicy Policy;
  std::unordered_map<Fingerprint, Record> Records;
};

} // namespace masticgap::coordination
