#pragma once

#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <variant>

namespace masticgap::coordination {

//! A worker's incarnation accepts no new work.
struct WorkerLeaving {
  WorkerId Worker;
  Incarnation Run;

  friend auto operator<=>(const WorkerLeaving &,
                          const WorkerLeaving &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Worker, Run); }
};

//! A request was in flight on a worker's incarnation when it died.
struct RequestSuspected {
  Fingerprint Request;
  WorkerId Worker;
  Incarnation Run;

  friend auto operator<=>(const RequestSuspected &,
                          const RequestSuspected &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Worker, Run);
  }
};

//! No entry host dispatches the request until the quarantine ends.
struct RequestQuarantined {
  Fingerprint Request;

  friend auto operator<=>(const RequestQuarantined &,
                          const RequestQuarantined &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Request); }
};

//! A request that was suspected of a worker's death was answered, so it does
//! not crash every worker.
struct RequestCleared {
  Fingerprint Request;
  WorkerId Worker;
  Incarnation Run;

  friend auto operator<=>(const RequestCleared &,
                          const RequestCleared &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Worker, Run);
  }
};

//! An accepted configuration version exists.
struct ConfigVersionSeen {
  std::uint64_t Version = 0;

  friend auto operator<=>(const ConfigVersionSeen &,
                          const ConfigVersionSeen &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Version); }
};

//! Information that every entry host must receive. Rumors are idempotent.
using Rumor = std::variant<WorkerLeaving, RequestSuspected, RequestQuarantined,
                           ConfigVersionSeen, RequestCleared>;

} // namespace masticgap::coordination
