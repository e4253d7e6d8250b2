#include "masticgap/coordination/joining/join_schedule.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

//! Salts that make the choices for one worker independent of each other.
constexpr std::uint64_t TakeOverSalt = 0x2545f491;
constexpr std::uint64_t TrialSalt = 0x9e3779b9;

double unitInterval(std::uint64_t Hash) {
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t hostHash(const HostId &Id) {
  return XXH3_64bits(Id.value().data(), Id.value().size());
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

} // namespace

void JoinSchedule::update(std::vector<Instant> Group, double RequestsPerSecond,
                          Instant Now) {
  Joining = 0;
  if (Group.empty()) {
    Established.reset();
    return;
  }
  const auto Median =
      Group.begin() + static_cast<std::ptrdiff_t>((Group.size() - 1) / 2);
  std::ranges::nth_element(Group, Median);
  Established = *Median;
  Joining =
      static_cast<std::size_t>(std::ranges::count_if(Group, [&](Instant Start) {
        return isJoining({Start, Start}, Now);
      }));
  TrialSpread = Policy.MaxTrialSpread;
  if (RequestsPerSecond > 0) {
    const std::chrono::duration<double> Needed(
        static_cast<double>(Joining) / (Policy.TrialShare * RequestsPerSecond));
    if (Needed < Policy.MaxTrialSpread)
      TrialSpread = std::chrono::duration_cast<Duration>(Needed);
  }
}

bool JoinSchedule::isJoining(const WorkerStart &Worker, Instant Now) const {
  return Established && Worker.StartedAt > *Established + Policy.GroupStart &&
         takenOverShare(Worker, Now) < 1;
}

double JoinSchedule::takenOverShare(const WorkerStart &Worker,
                                    Instant Now) const {
  if (!Established || Worker.StartedAt <= *Established + Policy.GroupStart)
    return 1;
  const Instant From = std::max(Worker.StartedAt, Worker.ColdUntil);
  const std::chrono::duration<double> Age = Now - From;
  return std::clamp(Age / std::chrono::duration<double>(Policy.TakeOverTime),
                    0.0, 1.0);
}

bool JoinSchedule::trialIsDue(const WorkerStart &Worker,
                              std::uint64_t WorkerHash, Instant Now) const {
  const Instant From = std::max(Worker.StartedAt, Worker.ColdUntil);
  const double Position = unitInterval(mixHashes(WorkerHash, TrialSalt));
  return Now >= From + scaled(TrialSpread, Position);
}

bool isTrialHost(std::uint64_t WorkerHash, const HostId &Self,
                 std::span<const HostId> Hosts) {
  const std::uint64_t OwnHash = mixHashes(WorkerHash, hostHash(Self));
  return std::ranges::none_of(Hosts, [&](const HostId &Host) {
    return Host != Self && mixHashes(WorkerHash, hostHash(Host)) > OwnHash;
  });
}

bool isTakenOver(std::uint64_t WorkerHash, std::uint64_t Object, double Share) {
  return Share >= 1 ||
         unitInterval(mixHashes(mixHashes(WorkerHash, TakeOverSalt), Object)) <
             Share;
}

} // namespace masticgap::coordination
