#pragma once

#include "coordination/fault_world.hpp"
#include "masticgap/coordination/at_most_once.hpp"
#include "masticgap/coordination/crash_quarantine.hpp"
#include "masticgap/coordination/intent_claims.hpp"
#include "masticgap/coordination/retry_policy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticgap::coordination::tests {

class FaultFleet;

//! Run of an entry host with the production modules and a simulated transport.
//! All events pass through at(), which drops the events of a dead run and
//! defers those of a paused run.
class FaultHost : public std::enable_shared_from_this<FaultHost> {
public:
  using ReplyTo = std::function<void(const Reply &)>;
  using Step = std::function<void()>;

  FaultHost(FaultWorld &World, FaultFleet &Fleet, EntryHostRun Self);

  //! Handles a request.
  //! \returns a token for callerGone().
  std::uint64_t receive(const Request &R, RequestOrigin Origin, ReplyTo To);
  void callerGone(std::uint64_t Token);
  void rumor(const Rumor &R);

  std::string keyPrefix() const { return Guard.keyPrefix(now()); }
  const EntryHostRun &self() const { return Self; }

  void kill() { Alive = false; }
  void pause() { Paused = true; }
  void resume();
  bool alive() const { return Alive; }
  bool paused() const { return Paused; }
  bool serving() const { return Alive && Serving; }

  //! Joins the fleet. The host serves once it has copied the quarantine records
  //! of a peer.
  void join();

  //! Runs a step on this host after a delay.
  void at(Duration Delay, Step Run);

private:
  struct Waiter {
    std::uint64_t Token = 0;
    ReplyTo To;
  };
  struct Task {
    std::uint64_t Id = 0; //!< Unique among all hosts; recorded by workers.
    Request Req;
    std::optional<IdempotencyKey> Key;
    SubmissionId Submission = 0;
    RequestOrigin Origin = RequestOrigin::Caller;
    Deadline Limit;
    std::vector<Waiter> Waiting;
    std::vector<Attempt> Attempts;
    Retry Next;   //!< Workers and domain to be avoided by the next attempt.
    Instant Sent; //!< Time of the last attempt.
    std::size_t OpenAttempt = 0; //!< Number of the attempt in flight; 0: none.
    bool Done = false; //!< The outcome is decided; nothing more is sent.
  };
  using TaskPtr = std::shared_ptr<Task>;

  Instant now() const { return World.Now + ClockOffset; }
  void admit(const TaskPtr &T);
  void attempt(const TaskPtr &T);
  void send(const TaskPtr &T, std::size_t Worker);
  void ended(const TaskPtr &T, std::size_t Number, std::size_t Worker,
             Incarnation Run, AttemptEnd End, std::uint64_t Body);
  void workerDied(const TaskPtr &T, std::size_t Worker, Incarnation Run,
                  const Step &Then);
  void decide(const TaskPtr &T, std::uint64_t Body);
  void finish(const TaskPtr &T, const Reply &FinalReply);
  void reply(const TaskPtr &T, const Reply &FinalReply);
  void deliver(const TaskPtr &T, const Reply &FinalReply);
  void forward(const TaskPtr &T, const HostId &Host, Incarnation Run);
  void spread(const std::vector<Rumor> &Rumors, Duration Limit,
              const Step &Then);
  void claims(const IntentEvent &Event);
  void on(const StoreTransact &Call) { store(Call); }
  void on(const StoreRead &Call) { store(Call); }
  void on(const ClaimWon &Action);
  void on(const ClaimHeld &Action);
  void on(const ClaimRefused &Action);
  void on(const ClaimUnknown &Action);
  template <class Call> void store(const Call &C);
  TaskPtr notClaimed(SubmissionId Claim);
  std::optional<std::size_t> chooseWorker(const Task &T);

  FaultWorld &World;
  FaultFleet &Fleet;
  EntryHostRun Self;
  Duration ClockOffset;
  AtMostOnceGuard Guard;
  IntentClaims Claims;
  CrashQuarantine Quarantine;
  RetryBudget Budget;
  BackoffRandom Engine;
  bool Alive = true;
  bool Paused = false;
  bool Serving = true;
  std::vector<Step> Inbox;
  std::vector<Rumor> RumorInbox;
  std::map<SubmissionId, TaskPtr> Tasks; //!< Tasks of requests with a key.
  std::map<std::uint64_t, TaskPtr> Tokens;
  std::optional<Instant> TimerAt;
};

//! All entry hosts of a simulation, accessed by index or by host id.
class FaultFleet {
public:
  static constexpr std::size_t HostCount = 4;

  explicit FaultFleet(FaultWorld &World);

  FaultHost &host(std::size_t Index) { return *Hosts[Index]; }
  std::shared_ptr<FaultHost> pointer(std::size_t Index) { return Hosts[Index]; }
  //! Returns the live run of a host, or null. Paused hosts count as live.
  std::shared_ptr<FaultHost> find(const HostId &Id, Incarnation Run);
  //! Returns a random host that serves and is not paused.
  std::size_t anyServing();
  //! Injects faults at random: kills and later restarts a host, pauses it, or
  //! makes the store unavailable.
  void disturb();
  bool quiet() const { return Quiet; }
  std::uint64_t nextNumber() { return ++LastNumber; }

private:
  std::size_t usable() const;
  void restart(std::size_t Index);
  void pauseHost(std::size_t Index);

  FaultWorld &World;
  std::vector<std::shared_ptr<FaultHost>> Hosts;
  std::uint64_t LastRun = 0;
  std::uint64_t LastNumber = 0;
  bool Quiet = false; //!< During a long pause of a host; few requests are sent.
};

} // namespace masticgap::coordination::tests
