#pragma once

#include "entry/answer_relay.hpp"
#include "entry/caller_connection.hpp"
#include "entry/caller_request.hpp"
#include "entry/traffic_state.hpp"
#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/coordination/stored_answer.hpp"
#include "masticgap/transport/attempt_control.hpp"
#include "masticgap/transport/worker_target.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace masticgap::entry {

//! Destination of one attempt.
struct AttemptTarget {
  transport::WorkerTarget Destination;
  RegionName Region;
  bool Peer = false; //!< Entry host that owns the key, not a worker.
};

//! Result of one attempt.
struct AttemptReport {
  coordination::AttemptEnd End = coordination::AttemptEnd::ConnectFailed;
  bool AnswerStarted = false;
  bool NoConnection = false; //!< All of this host's connections are in use.
  bool LinkFull = false;     //!< The link to the region has no capacity.
  std::optional<coordination::StoredAnswer> Kept;
  std::optional<coordination::LoadReport> Load;
};

//! Sends the request once and relays the answer to the caller.
//! \param KeepAnswer stores the answer for repeated requests, even if the
//! caller closed its connection.
boost::asio::awaitable<AttemptReport>
forwardOnce(TrafficState &State, CallerConnection &Caller,
            const CallerRequest &Request, AttemptTarget Target, bool KeepAnswer,
            transport::AttemptControl &Control);

} // namespace masticgap::entry
