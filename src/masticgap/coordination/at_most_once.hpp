#pragma once

#include "masticgap/coordination/at_most_once_verdict.hpp"
#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticgap::coordination {

//! Length of an epoch, measured on the clock of the key's owner.
inline constexpr Duration EpochLength = std::chrono::seconds(60);

//! Number of epochs whose keys are kept, including the current one.
inline constexpr std::uint64_t KeptEpochs = 10;

//! Memory limits of the guard.
struct AtMostOnceLimits {
  std::size_t MaxKeys = 131072;
  std::size_t MaxAnswerBytes = std::size_t{64} << 10;
  std::size_t MaxTotalAnswerBytes = std::size_t{32} << 20;
};

//! Identity of one run of an entry host.
struct EntryHostRun {
  HostId Host;
  Incarnation Run;

  friend bool operator==(const EntryHostRun &, const EntryHostRun &) = default;
};

//! How a request reached this entry host.
enum class RequestOrigin { Caller, Forwarded };

//! What to do after a caller has closed its connection.
enum class CallerGoneAction {
  KeepRunning, //!< Others wait, it may have run, or it is settled.
  Withdraw     //!< No caller waits and nothing was sent: do not dispatch it.
};

//! Decides whether a non-repeatable request may be dispatched, so that the
//! request of an idempotency key runs at most once.
//!
//! For each submission, call admit(), then dispatched() before the first byte
//! of each attempt can be sent, and finally notRun(), answered() or unknown().
//! Only unknown() may be followed by another one, answered(). After
//! callerGone() returned Withdraw, report nothing. If an attempt is proved not
//! to have run and is retried within this host, report only the next
//! dispatched(). After dispatched() the submission is completed even if all its
//! callers have disconnected, so that a resent request finds the outcome.
class AtMostOnceGuard {
public:
  //! \param OwnRun run of this entry host; it owns the keys bound to it.
  //! \param StartTime start of epoch 0; must be the same in all threads that
  //! issue key prefixes.
  AtMostOnceGuard(EntryHostRun OwnRun, Instant StartTime,
                  AtMostOnceLimits Bounds = {});

  //! Decides what to do with a request from a caller or another entry host.
  //! With Dispatch, JoinInFlight and ClaimIntent the caller counts as waiting.
  Verdict admit(const IdempotencyKey &Key, Fingerprint Request, Instant Now,
                RequestOrigin Origin = RequestOrigin::Caller);

  //! Returns whether the submission is still the key's current one and has no
  //! outcome yet. Must be checked before each attempt.
  bool mayDispatch(const IdempotencyKey &Key, SubmissionId Submission) const;

  //! Records that bytes of the request may be sent from now on.
  //! \returns false if the submission is no longer current; nothing may be sent
  //! then.
  bool dispatched(const IdempotencyKey &Key, SubmissionId Submission);

  //! Records that no attempt of the submission ran here or will run. Also used
  //! when the claim of a bare key was not won. A resent request may run.
  void notRun(const IdempotencyKey &Key, SubmissionId Submission);

  //! Records the worker's complete answer, whether it arrived in time or late.
  //! \param Answer absent if the answer was too large to buffer.
  void answered(const IdempotencyKey &Key, SubmissionId Submission,
                std::optional<StoredAnswer> Answer);

  //! Records that the submission may have run but its answer did not arrive. A
  //! later answered() overrides this.
  void unknown(const IdempotencyKey &Key, SubmissionId Submission);

  //! Records that one of the submission's waiting callers disconnected.
  CallerGoneAction callerGone(const IdempotencyKey &Key,
                              SubmissionId Submission);

  //! Returns the epoch in which this run issues keys now.
  std::uint64_t epoch(Instant Now) const;

  //! Returns the prefix of new keys that are bound to this run.
  std::string keyPrefix(Instant Now) const;

  //! Returns the number of stored keys.
  std::size_t size() const { return Entries.size(); }

  //! Returns the total size of the stored answers, in bytes.
  std::size_t answerBytes() const { return TotalAnswerBytes; }

private:
  enum class Phase { Admitted, Dispatched, Answered, Unknown };
  struct Entry {
    Fingerprint Request;
    SubmissionId Submission = 0;
    std::uint64_t Epoch = 0;
    Phase State = Phase::Admitted;
    bool Bare = false;
    unsigned WaitingCallers = 0;
    std::shared_ptr<const StoredAnswer> Answer;
  };
  using EntryMap = std::unordered_map<std::string, Entry>;

  static bool inProgress(const Entry &E);
  bool isDropped(std::uint64_t Epoch) const;
  std::optional<Verdict> checkBinding(const Binding &B,
                                      RequestOrigin Origin) const;
  Verdict admitExisting(Entry &E, Fingerprint Request);
  Verdict admitNew(const IdempotencyKey &Key, Fingerprint Request);
  Entry *find(const IdempotencyKey &Key, SubmissionId Submission);
  void eraseEntry(EntryMap::iterator Position);
  void releaseAnswer(Entry &E);
  void evictAnswers();
  void sweep(std::size_t Buckets);

  EntryHostRun Self;
  Instant Start;
  AtMostOnceLimits Limits;
  EntryMap Entries;
  std::deque<std::pair<std::string, SubmissionId>> AnswerOrder;
  std::size_t TotalAnswerBytes = 0;
  std::size_t SweepBucket = 0;
  SubmissionId LastSubmission = 0;
  std::uint64_t NewestEpoch = 0;
};

} // namespace masticgap::coordination
