#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>

namespace masticgap::coordination {

//! Requests for which a pooled connection may be used.
enum class ConnectionUse {
  Any,            //!< Any request.
  RepeatableOnly, //!< Not recently proved alive; repeatable requests only.
  Close           //!< Idle for too long; has to be closed.
};

//! Tracks when a connection was last proved alive. A connection may stop
//! working while the worker is healthy, so this does not affect the worker's
//! health.
class ConnectionHealth {
public:
  //! Maximum time for which an idle connection is kept.
  static constexpr Duration IdleLimit = std::chrono::seconds(30);
  //! Maximum age of the last proof of liveness for non-repeatable requests.
  static constexpr Duration ProofLimit = std::chrono::seconds(2);

  //! \param Now time at which the connection was established.
  explicit ConnectionHealth(Instant Now) : LastProof(Now) {}

  //! Records that a complete answer arrived.
  void answered(Instant Now) { LastProof = Now; }

  //! Limits the idle time to that after which the peer closes the connection.
  void limitIdle(Duration PeerLimit) {
    Limit = std::clamp(PeerLimit, Duration(0), IdleLimit);
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
