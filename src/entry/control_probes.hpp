#pragma once

#include "entry/worker_probe.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace masticgap::entry {

//! Queries the load of all workers in turn, spread evenly over the interval.
class WorkerProber {
public:
  using Handler = std::function<void(const WorkerDescriptor &, WorkerLoad)>;

  WorkerProber(boost::asio::io_context &Io, std::chrono::milliseconds Interval,
               Handler OnLoad);

  void setWorkers(std::vector<WorkerDescriptor> Listed);
  void start() { schedule(); }
  void stop();

private:
  void schedule();
  void probeNext();

  boost::asio::io_context &Io;
  std::chrono::milliseconds Interval;
  Handler OnLoad;
  boost::asio::steady_timer Timer;
  std::vector<WorkerDescriptor> Workers;
  std::size_t NextWorker = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
