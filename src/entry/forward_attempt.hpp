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

//! Where one attempt goes.
struct AttemptTarget {
  transport::WorkerTarget Destination;
  RegionName Region;
  bool Peer = false; //!< The owner of the key instead of a worker.
};

//! How an attempt ended.
struct AttemptReport {
  coordination::AttemptEnd End = coordination::AttemptEnd::ConnectFailed;
  bool AnswerStarted = false;
  bool NoConnection = false; //!< This host's connections are all in use.
  bool LinkFull = false;     //!< The link to the region has no room.
  std::optional<coordination::StoredAnswer> Kept;
  std::optional<coordination::LoadReport> Load;
};

//! Sends the request once and relays the answer.
//! \param Keep keeps the answer for repeated requests, also when the caller
//! went away.
boost::asio::awaitable<AttemptReport>
forwardOnce(TrafficState &State, CallerConnection &Caller,
            const CallerRequest &Request, AttemptTarget Target, bool KeepAnswer,
            transport::AttemptControl &Control);

} // namespace masticgap::entry
