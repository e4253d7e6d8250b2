#include "entry/control_probes.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::entry {

WorkerProber::WorkerProber(boost::asio::io_context &Io,
                           std::chrono::milliseconds Interval, Handler OnLoad)
    : Io(Io), Interval(Interval), OnLoad(std::move(OnLoad)), Timer(Io) {}

void WorkerProber::setWorkers(std::vector<WorkerDescriptor> Listed) {
  Workers = std::move(Listed);
}

void WorkerProber::stop() {
  Alive.reset();
  Timer.cancel();
}

void WorkerProber::schedule() {
  const auto Count =
      static_cast<std::int64_t>(std::max(Workers.size(), std::size_t{1}));
  Timer.expires_after(std::chrono::nanoseconds(Interval) / Count);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure || !Alive)
      return;
    probeNext();
    schedule();
  });
}

void WorkerProber::probeNext() {
  if (Workers.empty())
    return;
  NextWorker = (NextWorker + 1) % Workers.size();
  const WorkerDescriptor &Worker = Workers[NextWorker];
  probeWorker(Io, Worker, Interval,
              [this, Worker, WeakAlive = std::weak_ptr<bool>(Alive)](
                  std::optional<WorkerLoad> Load) {
                if (Load && !WeakAlive.expired())
                  OnLoad(Worker, *Load);
              });
}

} // namespace masticgap::entry
