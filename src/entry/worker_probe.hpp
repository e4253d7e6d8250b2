#pragma once

#include "masticgap/coordination/load_report.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

namespace masticgap::entry {

//! State reported by a worker's load endpoint.
struct WorkerLoad {
  coordination::LoadReport Load;
  bool Leaving = false;
  Incarnation Run;
};

//! Parses the body of the answer to GET /_load.
//! \returns std::nullopt if the text is invalid.
std::optional<WorkerLoad> parseWorkerLoadBody(std::string_view Json);

//! Queries the load of a worker. The handler receives std::nullopt when no
//! complete answer arrived in time.
void probeWorker(boost::asio::io_context &Io, const WorkerDescriptor &Worker,
                 std::chrono::milliseconds Timeout,
                 std::function<void(std::optional<WorkerLoad>)> OnDone);

//! Returns whether the run of the worker has ended: no process answers, or
//! another run does.
boost::asio::awaitable<bool> isRunGone(boost::asio::io_context &Io,
                                       WorkerDescriptor Worker,
                                       std::chrono::milliseconds Timeout);

} // namespace masticgap::entry
