#pragma once

#include "coordination/fake_table.hpp"
#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/outcome.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::coordination::tests {

using namespace std::chrono_literals;

//! Probabilities of the faults in a simulation. With the defaults there are no
//! faults.
struct Faults {
  double StoreLost = 0;       //!< Answers lost after the call took effect.
  double StoreSlow = 0;       //!< Answers that arrive late.
  double StoreOutages = 0;    //!< Per disturbance: a store outage begins.
  bool StoreDown = false;     //!< The store is down during the complete run.
  double WorkerRefuses = 0;   //!< Requests refused before execution.
  double WorkerCrashes = 0;   //!< Requests in which the worker dies.
  double WorkerLate = 0;      //!< Answers after the deadline.
  double WorkerTruncates = 0; //!< Truncated answers.
  double Kills = 0;           //!< Per disturbance: an entry host is killed.
  double Pauses = 0;          //!< Per disturbance: an entry host is paused.
  bool CallerFaults = false;  //!< Callers disconnect and use old key prefixes.
  double OtherRequests = 0;   //!< Keys with which another request is sent.
  bool Crashers = false; //!< Some requests crash each worker that runs them.
};

//! Request of a caller.
struct Request {
  std::uint64_t Id = 0;
  std::string Key; //!< Empty for a repeatable request.
  Fingerprint Print;
  bool Crashes = false;
};

//! Reply to a caller.
struct Reply {
  Outcome ReportedOutcome = Outcome::Unknown;
  std::uint64_t Body = 0; //!< Request that the answer belongs to.
};

//! Simulated clock, random numbers, workers and table service of one
//! simulation, and a record of the executed requests, against which the
//! invariants are checked.
class FaultWorld {
public:
  using Step = std::function<void()>;
  using AttemptDone = std::function<void(AttemptEnd, std::uint64_t Body)>;

  FaultWorld(std::uint64_t Seed, Faults FaultRates)
      : Random(Seed), Rates(FaultRates), Workers(WorkerCount) {}

  static constexpr std::size_t WorkerCount = 12;

  std::mt19937_64 Random;
  const Faults Rates;
  Instant Now{};
  FakeTable Table;
  Instant StoreUpAt{};
  std::vector<std::string> Violations;

  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random) < Share;
  }
  Duration between(Duration Low, Duration High) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        Low.count(), High.count())(Random));
  }
  std::size_t below(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  Duration latency() { return between(1ms, 20ms); }

  void after(Duration Delay, Step Run) {
    Events.push({Now + Delay, ++LastEvent, std::move(Run)});
  }
  //! Runs the next event.
  //! \returns false if there is none.
  bool step() {
    if (Events.empty())
      return false;
    Event Next = Events.top();
    Events.pop();
    Now = std::max(Now, Next.At);
    Next.Run();
    return true;
  }

  //! Makes a store call, whose answer may be lost or late.
  template <class Call>
  void store(const Call &C, const std::function<void(StoreAnswer)> &Done) {
    const Duration RequestDelay = latency();
    const bool Lost = chance(Rates.StoreLost);
    const Duration AnswerDelay =
        chance(Rates.StoreSlow) ? between(500ms, 3s) : latency();
    after(RequestDelay, [this, C, Done, Lost, AnswerDelay] {
      const bool Down = Rates.StoreDown || Now < StoreUpAt;
      const bool WriteStuck = Down && !Rates.StoreDown && chance(0.1);
      if (WriteStuck) // Takes effect after the client has timed out.
        after(between(1s, 5s), [this, C] { Table(C); });
      const StoreAnswer Answer =
          Down ? StoreAnswer(StoreLost{C.CallId}) : Table(C);
      const StoreAnswer Received =
          Lost ? StoreAnswer(StoreLost{C.CallId}) : Answer;
      after(AnswerDelay, [Done, Received] { Done(Received); });
    });
  }

  static WorkerId workerId(std::size_t Index) {
    return WorkerId("w" + std::to_string(Index));
  }
  static FailureDomainName domain(std::size_t Index) {
    return FailureDomainName("d" + std::to_string(Index % 3));
  }
  Incarnation workerRun(std::size_t Index) const { return Workers[Index].Run; }

  //! Sends a request to a worker for a submission of an entry host.
  void attempt(std::size_t Index, const Request &R, std::uint64_t Submission,
               const AttemptDone &Done) {
    after(latency(), [this, Index, R, Submission, Done] {
      Worker &W = Workers[Index];
      if (!W.Alive)
        return answer(Done, AttemptEnd::ConnectFailed, 0);
      if (W.InFlight.size() >= SlotCount || chance(Rates.WorkerRefuses))
        return answer(Done, AttemptEnd::RefusedFull, 0);
      execute(Index, R, Submission, Done);
    });
  }

  //! Records that a submission ended without running. It must never run.
  void recordNotRun(std::uint64_t Submission) {
    if (Ran.count(Submission))
      Violations.push_back("submission " + std::to_string(Submission) +
                           " ended as not run, but it ran");
    Ended.insert(Submission);
  }

  //! Checks the outcome that is reported to a caller.
  void told(const Request &R, const Reply &FinalReply) {
    if (FinalReply.ReportedOutcome == Outcome::NotRun && !R.Key.empty() &&
        Executions.count({R.Key, R.Print.Value}))
      Violations.push_back("key " + R.Key + " was told not run, but it ran");
    if (FinalReply.ReportedOutcome == Outcome::Answered &&
        FinalReply.Body != R.Print.Value)
      Violations.push_back("request " + std::to_string(R.Id) +
                           " got the answer of another request");
  }

  //! Records that the caller of a crashing request resends it while a worker
  //! may still run it. Such overlapping sends may kill one more worker.
  void recordOverlap(Fingerprint Print) { ++Overlaps[Print.Value]; }

private:
  static constexpr std::size_t SlotCount = 6;

  struct Event {
    Instant At;
    std::uint64_t Number;
    Step Run;
    bool operator<(const Event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };
  struct Worker {
    bool Alive = true;
    Incarnation Run{1};
    std::map<std::uint64_t, AttemptDone> InFlight;
  };

  void answer(const AttemptDone &Done, AttemptEnd End, std::uint64_t Body) {
    after(latency(), [Done, End, Body] { Done(End, Body); });
  }

  void execute(std::size_t Index, const Request &R, std::uint64_t Submission,
               const AttemptDone &Done) {
    record(R, Submission);
    const std::uint64_t Number = ++LastExecution;
    Workers[Index].InFlight.emplace(Number, Done);
    if (R.Crashes || chance(Rates.WorkerCrashes)) {
      after(between(0ms, 10ms), [this, Index, Number, R] {
        if (Workers[Index].InFlight.count(Number))
          die(Index, R);
      });
      return;
    }
    const AttemptEnd End = chance(Rates.WorkerTruncates) ? AttemptEnd::Truncated
                                                         : AttemptEnd::Answered;
    const Duration Work =
        chance(Rates.WorkerLate) ? between(2s, 5s) : between(1ms, 30ms);
    after(Work, [this, Index, Number, End, R] {
      Worker &W = Workers[Index];
      const auto Found = W.InFlight.find(Number);
      if (Found == W.InFlight.end())
        return;
      answer(Found->second, End, R.Print.Value);
      W.InFlight.erase(Found);
    });
  }

  void record(const Request &R, std::uint64_t Submission) {
    Ran.insert(Submission);
    if (Ended.count(Submission))
      Violations.push_back("submission " + std::to_string(Submission) +
                           " ran after it ended as not run");
    if (R.Key.empty())
      return;
    Executions.insert({R.Key, R.Print.Value});
    if (!Executed.insert(R.Key).second)
      Violations.push_back("key " + R.Key + " ran twice");
  }

  void die(std::size_t Index, const Request &Cause) {
    Worker &W = Workers[Index];
    W.Alive = false;
    const auto Lost = std::exchange(W.InFlight, {});
    for (const auto &[Number, Done] : Lost)
      answer(Done, AttemptEnd::ConnectionLost, 0);
    after(between(100ms, 2s), [this, Index] {
      Workers[Index].Alive = true;
      ++Workers[Index].Run.Value;
    });
    if (!Cause.Crashes)
      return;
    // Hosts drop a request when its quarantine ends.
    auto &Times = Killed[Cause.Print.Value];
    std::erase_if(Times, [this](Instant At) { return Now - At >= 10min; });
    Times.push_back(Now);
    const std::size_t Count = Times.size();
    if (Count > 2 + Overlaps[Cause.Print.Value])
      Violations.push_back("crashing request " +
                           std::to_string(Cause.Print.Value) + " killed " +
                           std::to_string(Count) + " workers");
  }

  std::priority_queue<Event> Events;
  std::uint64_t LastEvent = 0;
  std::uint64_t LastExecution = 0;
  std::vector<Worker> Workers;
  std::set<std::string> Executed;
  std::set<std::pair<std::string, std::uint64_t>> Executions;
  std::set<std::uint64_t> Ran;
  std::set<std::uint64_t> Ended;
  std::map<std::uint64_t, std::vector<Instant>> Killed;
  std::map<std::uint64_t, std::size_t> Overlaps;
};

} // namespace masticgap::coordination::tests
