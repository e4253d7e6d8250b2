#include "masticgap/coordination/at_most_once_verdict.hpp"

namespace masticgap::coordination {

std::string_view describe(RefuseReason Reason) {
  switch (Reason) {
  case RefuseReason::OtherRequest:
    return "the idempotency key belongs to another request; use a new key for "
           "each request";
  case RefuseReason::FutureEpoch:
    return "the key prefix names an epoch that was not handed out; look up the "
           "entry host again and use its key_prefix";
  case RefuseReason::KeyTableFull:
    return "this entry host tracks as many keys as it can; send the request "
           "again later, or with the key_prefix of another entry host";
  }
  return "the request was refused";
}

std::string_view describe(UnknownReason Reason) {
  switch (Reason) {
  case UnknownReason::OutcomeUnknown:
    return "an earlier send of this key may have run; check with the service "
           "before using a new key";
  case UnknownReason::AnswerNotKept:
    return "the request ran and its answer is not kept; read the result from "
           "the service";
  case UnknownReason::EpochDropped:
    return "the key is older than 9 min and may have run; check with the "
           "service before using a new key";
  case UnknownReason::OwnerGone:
    return "the entry host run that the key is bound to is gone; check with "
           "the service before using a new key";
  case UnknownReason::ForwardedTwice:
    return "the request was forwarded to a host that does not own its key; "
           "send it again with the same key";
  case UnknownReason::KeyTableFull:
    return "this entry host tracks as many keys as it can; send the request "
           "again with the same key through another entry host";
  case UnknownReason::DeadlinePassed:
    return "the key was not claimed in time; send the request again with the "
           "same key, or use a key_prefix";
  case UnknownReason::TooManyClaims:
    return "too many keys wait to be claimed; send the request again with the "
           "same key, or use a key_prefix";
  case UnknownReason::OutcomeNotKept:
    return "the key was used and its outcome is no longer kept; check with the "
           "service before using a new key";
  }
  return "the request may have run";
}

} // namespace masticgap::coordination
