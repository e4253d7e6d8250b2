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
//! is remembered.
inline constexpr Duration QuarantineTime = std::chrono::minutes(10);

//! Longest wait for peers to acknowledge a suspicion or a quarantine.
inline constexpr Duration SpreadLimit = std::chrono::milliseconds(300);

//! Time after a success in which a quarantine rumor is taken as an old copy.
inline constexpr Duration RumorLifetime = std::chrono::seconds(30);

//! Limits of the quarantine's memory.
struct QuarantineLimits {
  std::size_t MaxRequests = 4096;
};

//! One worker's run that died with a request in flight.
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

//! What one host knows about a request, for a host that joins.
struct QuarantineFact {
  Fingerprint Request;
  std::vector<WorkerDeath> Deaths;
  Duration Remaining{0}; //!< Time until the fact expires.
  bool Quarantined = false;
};

//! What follows the death of a worker.
struct QuarantineAction {
  //! Urgent rumors. When peers acknowledged one, spreadFinished() is called.
  std::vector<Rumor> Spread;
  //! The callers of the requests in flight are answered, and the requests sent
  //! again, when the spread is finished or at this time, whichever is first.
  Instant WaitLimit;
};

//! Whether a request may be dispatched with regard to crashes.
enum class DispatchGate {
  Open,
  WaitForSpread, //!< Wait until waitLimit(), or until the spread is finished.
  Quarantined    //!< Refuse as not run, if no earlier attempt may have run.
};

//! Stops a request that crashes each worker that runs it after two workers.
class CrashQuarantine {
public:
  explicit CrashQuarantine(QuarantineLimits Bounds = {});

  //! A worker's process died, or its connection broke before the answer.
  //! \param InFlight requests of this host that were in flight there, and those
  //! that timed out there and to which the worker had not answered since.
  QuarantineAction workerDied(const WorkerId &Worker, Incarnation Run,
                              std::span<const InFlightRequest> InFlight,
                              Instant Now);

  //! As above, for requests whose dispatch time is not known. Run has to come
  //! from the worker itself, because the host list lags: two deaths under one
  //! incarnation count once.
  QuarantineAction workerDied(const WorkerId &Worker, Incarnation Run,
                              std::span<const Fingerprint> InFlight,
                              Instant Now);

  //! A rumor arrived from another host; kinds that are not about requests are
  //! ignored.
  //! \returns rumors that follow: two hosts may each have seen one death.
  std::vector<Rumor> onRumor(const Rumor &R, Instant Now);

  //! Peers acknowledged a rumor of this host.
  void spreadFinished(const Rumor &R);

  //! The request was answered by a worker, so it does not crash each worker.
  //! \returns rumors that lift suspicions elsewhere; hosts that refuse the
  //! request would never see a success of their own.
  std::vector<Rumor> recordSuccess(Fingerprint Request, Instant Now);

  //! Asked before each attempt.
  DispatchGate gate(Fingerprint Request, Instant Now) const;

  //! End of the wait when gate() says WaitForSpread or isSpreading() is true.
  std::optional<Instant> waitLimit(Fingerprint Request) const;

  //! Whether a caller of the request still has to wait for its answer, because
  //! peers have not acknowledged a death. Unlike gate(), this also covers a
  //! request that the death put into quarantine.
  bool isSpreading(Fingerprint Request, Instant Now) const;

  bool isQuarantined(Fingerprint Request, Instant Now) const;
  bool isSuspect(Fingerprint Request, Instant Now) const;

  //! All facts in force. A host that joins or was paused has to restore() those
  //! of a peer before it dispatches, because rumors passed it by.
  std::vector<QuarantineFact> facts(Instant Now) const;
  void restore(std::span<const QuarantineFact> Facts, Instant Now);

  //! Requests in memory.
  std::size_t size() const { return Records.size(); }

private:
  struct KnownDeath {
    WorkerDeath Death;
    Instant Learned; //!< When this host heard of it, or cleared it.
  };
  struct Record {
    std::vector<KnownDeath> Deaths;
    std::vector<KnownDeath> Cleared; //!< Deaths before the last success.
    Instant Expires;
    Instant IgnoreRumorsUntil;
    std::optional<Instant> SpreadUntil;
    bool Quarantined = false;
  };

  Record &record(Fingerprint Request, Instant Now);
  const Record *find(Fingerprint Request, Instant Now) const;
  static std::vector<KnownDeath>::iterator
  findDeath(std::vector<KnownDeath> &Deaths, const WorkerDeath &Death);
  static void clear(Record &R, Instant Now);
  void addDeath(Record &R, const WorkerDeath &Death, Instant Sent, Instant Now);
  void makeRoom(Instant Now);

  QuarantineLimits Limits;
  std::unordered_map<Fingerprint, Record> Records;
};

} // namespace masticgap::coordination
