#pragma once

#include "masticgap/coordination/internal/grant_plan.hpp"
#include "masticgap/coordination/internal/step_pacer.hpp"
#include "masticgap/coordination/link_grant_action.hpp"
#include "masticgap/coordination/link_grant_row.hpp"
#include "masticgap/coordination/store_types.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace masticgap::coordination::internal {

//! Cap of a pair and each host's floor of it.
struct LeaseCap {
  std::uint64_t ConfigVersion = 0;
  double Cap = 0;   //!< Bytes per second.
  double Floor = 0; //!< Bytes per second of one host.
};

//! State that the leases of one host share.
struct LeaseContext {
  const LeaseOwner &Owner;
  std::mt19937_64 &Random;
  StepPacer &Growth; //!< Paces steps without a grant and early writes.
  std::uint64_t &NextCallId;
  std::vector<LinkGrantAction> &Actions;
};

//! Lease of one directed pair by one host. It reads the row, plans, and writes
//! the row under the condition that it is unchanged. After a lost answer, it
//! reads the row to find out whether the write took effect.
class PairLease {
public:
  explicit PairLease(RegionPair P) : Pair(std::move(P)) {}

  void setCap(const LeaseCap &C);
  void demand(const LinkDemand &D, LeaseContext &Context, Instant Now);

  //! Returns when the next step is due, if any.
  std::optional<Instant> dueAt() const;
  //! Returns whether a store call is outstanding.
  bool isCalling() const { return CallId != 0; }
  //! Returns whether the answer of the call is overdue. An overdue answer is
  //! treated as lost.
  bool isOverdue(Instant Now) const {
    return isCalling() && Now >= CallDeadline;
  }
  bool isCall(std::uint64_t Id) const { return CallId != 0 && CallId == Id; }
  void startRead(LeaseContext &Context, Instant Now);
  void onRow(const StoreRow &Row, LeaseContext &Context, Instant Now);
  void onCommitted(LeaseContext &Context, Instant Now);
  void onConflict(LeaseContext &Context, Instant Now);
  void onLost(LeaseContext &Context, Instant Now);

private:
  struct Attempt {
    std::uint64_t Sequence = 0;
    double Rate = 0;
    double Target = 0;
    double Cap = 0;
    bool Releases = false;
    Instant SentAt{};
  };

  bool rejectOutdated(const StoreRow &Row, Instant Now);
  LeaseCap capInForce(const LinkGrantRow &Row, LeaseContext &Context) const;
  void settle(const LinkGrantEntry *Own, LeaseContext &Context, Instant Now);
  void plan(const StoreRow &Base, const LinkGrantRow &Row,
            LeaseContext &Context, Instant Now);
  void write(const StoreRow &Base, const GrantPlan &P, const LeaseCap &C,
             LeaseContext &Context, Instant Now);
  void confirm(const Attempt &A, LeaseContext &Context);
  void spendAtMost(double Rate, LeaseContext &Context);
  bool isHeld() const;
  void scheduleAfter(Duration Delay, LeaseContext &Context, Instant Now);
  void scheduleRenewal(const Attempt &A, LeaseContext &Context);
  void retryLater(LeaseContext &Context, Instant Now);

  RegionPair Pair;
  LeaseCap Configured;
  EntryObserver Observer;
  LinkGrant Spendable;
  //! This host's rate in the row as last read or written, and the cap under
  //! which it was granted.
  std::optional<double> RowRate;
  double RowCap = 0;
  //! Last write while its outcome is unknown.
  std::optional<Attempt> Pending;
  std::uint64_t LastSequence = 0;
  std::uint64_t KnownVersion = 0;
  Instant KnownAt{};
  double Wanted = 0;
  double WantedInRow = 0;
  Instant DemandAt{};
  std::uint64_t CallId = 0;
  Instant CallDeadline{};
  std::optional<Instant> Due;
  bool GrowthPlanned = false;
  Instant LastWriteAt{};
  unsigned Failures = 0;
};

} // namespace masticgap::coordination::internal
