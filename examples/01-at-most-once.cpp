// Runs a payment at most once, although its caller sends it three times.
//
// The program supplies the clock and the connections; the guard only decides.
// Link with masticgap::coordination, and pass the time of a monotonic clock.

#include "masticgap/coordination/at_most_once.hpp"

#include <iostream>
#include <string>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

//! Stands for a call of the payment service; only counts the payments.
StoredAnswer pay(int &Payments) {
  ++Payments;
  return {200, {}, "payment " + std::to_string(Payments)};
}

//! Handles one arrival of the request at a host and describes the result.
std::string handle(AtMostOnceGuard &Guard, const IdempotencyKey &Key,
                   Fingerprint Request, Instant Now, int &Payments) {
  const Verdict Decision = Guard.admit(Key, Request, Now);
  if (const auto *Run = std::get_if<Dispatch>(&Decision)) {
    // Marks the key as used before the first byte is sent, so that it stays
    // marked if the connection breaks.
    if (!Guard.dispatched(Key, Run->Submission))
      return "withdrawn";
    const StoredAnswer Answer = pay(Payments);
    Guard.answered(Key, Run->Submission, Answer);
    return "ran: " + Answer.Body;
  }
  if (const auto *Replay = std::get_if<ReplayAnswer>(&Decision))
    return "replayed: " + Replay->Answer->Body;
  if (const auto *Owner = std::get_if<ForwardToOwner>(&Decision))
    return "forward to " + Owner->Host.value();
  if (const auto *Refused = std::get_if<RefuseNotRun>(&Decision))
    return "not run: " + std::string(describe(Refused->Reason));
  if (const auto *Unknown = std::get_if<AnswerUnknown>(&Decision))
    return "unknown: " + std::string(describe(Unknown->Reason));
  return "in progress, or to be claimed";
}

} // namespace

int main() {
  const Instant Start{0s};
  AtMostOnceGuard OwnerGuard({HostId("e-1"), Incarnation{7}}, Start);
  AtMostOnceGuard OtherGuard({HostId("e-2"), Incarnation{9}}, Start);

  // The look-up answer contains the prefix; the caller appends its own text.
  const auto Key =
      parseIdempotencyKey(OwnerGuard.keyPrefix(Start + 1s) + "order-1");
  if (!Key)
    return 1;
  int Payments = 0;
  std::cout << handle(OwnerGuard, *Key, {1}, Start + 2s, Payments) << "\n"
            << handle(OwnerGuard, *Key, {1}, Start + 3s, Payments) << "\n"
            << handle(OtherGuard, *Key, {1}, Start + 4s, Payments) << "\n"
            << handle(OwnerGuard, *Key, {2}, Start + 5s, Payments) << "\n"
            << handle(OwnerGuard, *Key, {1}, Start + 11min, Payments) << "\n";
  return Payments == 1 ? 0 : 1;
}
