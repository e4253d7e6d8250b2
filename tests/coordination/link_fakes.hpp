#pragma once

#include "masticgap/coordination/link_budget.hpp"
#include "masticgap/coordination/link_grants.hpp"

#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::tests {

using namespace coordination;
using std::chrono::milliseconds;

//! Fake store with fault injection. It supports conditional writes and counts
//! calls.
class FakeTable {
public:
  bool Down = false; //!< Calls are lost without effect.
  //! Share of calls that take effect but lose their answer.
  double LoseAnswerShare = 0;
  //! Maximum extra delay before a call takes effect.
  Duration Slow{0};
  //! Switches that disable a mechanism, to prove that the checks detect it.
  bool IgnoreConditions = false;
  bool ReportLostAsCommitted = false;

  struct Delivery {
    std::size_t Caller = 0;
    StoreAnswer Answer;
  };

  explicit FakeTable(std::uint64_t Seed) : Random(Seed) {}

  void call(std::size_t Caller, const StoreCall &Call, Instant Now) {
    std::visit([&](const auto &C) { count(C, Now); }, Call);
    const Instant At = Now + milliseconds(5) + upTo(milliseconds(20) + Slow);
    // A caller that timed out gets no answer, but the call can still take
    // effect.
    const bool TimedOut = At > Now + Timeout;
    if (TimedOut)
      lose(Caller, Call, Now + Timeout);
    Queue.push({At, NextOrder++, Caller, Call, Now, TimedOut});
  }

  //! Executes all due calls and returns the due answers.
  std::vector<Delivery> run(Instant Now) {
    while (!Queue.empty() && Queue.top().At <= Now) {
      const Queued Q = Queue.top();
      Queue.pop();
      execute(Q);
    }
    std::vector<Delivery> Due;
    while (!Answers.empty() && Answers.begin()->first <= Now) {
      Due.push_back(std::move(Answers.begin()->second));
      Answers.erase(Answers.begin());
    }
    return Due;
  }

  unsigned peakReads() const { return peak(ReadsPerSecond); }
  unsigned peakWrites() const { return peak(WritesPerSecond); }

private:
  struct Queued {
    Instant At;
    std::uint64_t Order;
    std::size_t Caller;
    StoreCall Call;
    Instant SentAt;
    bool TimedOut;
    bool operator<(const Queued &O) const {
      return std::tie(At, Order) > std::tie(O.At, O.Order);
    }
  };
  struct Row {
    std::uint64_t Version = 0;
    std::string Value;
  };
  using Counts = std::map<Instant, unsigned>;

  //! Time-out of a call.
  static constexpr Duration Timeout = milliseconds(1000);

  Duration upTo(Duration D) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, D.count())(Random));
  }
  void count(const StoreRead &, Instant Now) {
    ++ReadsPerSecond[std::chrono::floor<std::chrono::seconds>(Now)];
  }
  void count(const StoreTransact &, Instant Now) {
    ++WritesPerSecond[std::chrono::floor<std::chrono::seconds>(Now)];
  }
  static unsigned peak(const Counts &C) {
    unsigned Peak = 0;
    for (const auto &[Second, N] : C)
      Peak = std::max(Peak, N);
    return Peak;
  }

  StoreAnswer effect(const StoreRead &C) {
    const auto It = Rows.find(C.Key);
    if (It == Rows.end())
      return StoreRow{C.CallId, false, 0, ""};
    return StoreRow{C.CallId, true, It->second.Version, It->second.Value};
  }
  StoreAnswer effect(const StoreTransact &C) {
    for (const StoreOp &Op : C.Ops)
      if (!IgnoreConditions && Rows[Op.Key].Version != Op.IfVersion)
        return StoreConflict{C.CallId, {0}};
    ++Version;
    for (const StoreOp &Op : C.Ops)
      Rows[Op.Key] = {Version, Op.Value};
    return StoreCommitted{C.CallId, Version};
  }

  void execute(const Queued &Q) {
    if (Down) {
      if (!Q.TimedOut)
        lose(Q.Caller, Q.Call, Q.SentAt + Timeout);
      return;
    }
    StoreAnswer Answer =
        std::visit([&](const auto &C) { return effect(C); }, Q.Call);
    if (Q.TimedOut)
      return;
    if (std::bernoulli_distribution(LoseAnswerShare)(Random))
      return lose(Q.Caller, Q.Call, Q.SentAt + Timeout);
    Answers.insert(
        {Q.At + upTo(milliseconds(10)), {Q.Caller, std::move(Answer)}});
  }

  void lose(std::size_t Caller, const StoreCall &Call, Instant At) {
    const auto Id = std::visit([](const auto &C) { return C.CallId; }, Call);
    StoreAnswer Answer = StoreLost{Id};
    if (ReportLostAsCommitted && std::holds_alternative<StoreTransact>(Call))
      Answer = StoreCommitted{Id, Version};
    Answers.insert({At, {Caller, std::move(Answer)}});
  }

  std::mt19937_64 Random;
  std::map<std::string, Row> Rows;
  std::uint64_t Version = 0;
  std::uint64_t NextOrder = 0;
  std::priority_queue<Queued> Queue;
  std::multimap<Instant, Delivery> Answers;
  Counts ReadsPerSecond;
  Counts WritesPerSecond;
};

//! Link that counts the bytes of all hosts on one pair and checks every window.
//! Bytes arrive only at integer milliseconds.
class FakeLink {
public:
  void carry(std::uint64_t Bytes, Instant Now) {
    advance(Now);
    Slots.back() += Bytes;
    Sum += Bytes;
    Total += Bytes;
  }
  //! Returns the bytes of the window that ends now, including its last
  //! millisecond.
  std::uint64_t window(Instant Now) {
    advance(Now);
    return Sum;
  }
  std::uint64_t total() const { return Total; }

private:
  static constexpr std::size_t Length = 100;

  void advance(Instant Now) {
    const auto Slot = Now.time_since_epoch() / milliseconds(1);
    for (; Last < Slot; ++Last) {
      Slots.push_back(0);
      if (Slots.size() > Length) {
        Sum -= Slots.front();
        Slots.pop_front();
      }
    }
  }

  std::deque<std::uint64_t> Slots{0};
  std::int64_t Last = 0;
  std::uint64_t Sum = 0;
  std::uint64_t Total = 0;
};

} // namespace masticgap::tests
