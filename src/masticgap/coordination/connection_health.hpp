#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>

namespace masticgap::coordination {

//! What may be done with a pooled connection.
enum class ConnectionUse {
  Any,            //!< Any request.
  RepeatableOnly, //!< Not lately proved alive: no non-repeatable request.
  Close           //!< Idle for too long.
};

//! Age of the evidence that one connection still works. A connection may go
//! silent while the worker is well, so the verdict never falls on the worker.
class ConnectionHealth {
public:
  //! Longest time that an idle connection is kept.
  static constexpr Duration IdleLimit = std::chrono::seconds(30);
  //! Evidence of liveness that a non-repeatable request needs.
  static constexpr Duration ProofLimit = std::chrono::seconds(2);

  //! \param Now time at which the connection was established.
  explicit ConnectionHealth(Instant Now) : LastProof(Now) {}

  //! A whole answer arrived.
  void answered(Instant Now) { LastProof = Now; }

  //! The other side closes the connection after this idle time.
  void limitIdle(Duration Longest) {
    Limit = std::clamp(Longest, Duration(0), IdleLimit);
  }

  ConnectionUse use(Instant Now) const {
    const Duration Age = Now - LastProof;
    if (Age >= Limit)
      return ConnectionUse::Close;
    return Age >= ProofLimit ? ConnectionUse::RepeatableOnly
                             : ConnectionUse::Any;
  }

private:
  Instant LastProof;
  Duration Limit = IdleLimit;
};

} // namespace masticgap::coordination
