#include "masticgap/coordination/event.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace masticgap::coordination {

namespace {

struct KindName {
  EventKind Kind;
  std::string_view Text;
};

constexpr std::array KindNames{
    KindName{EventKind::ProcessStarted, "process_started"},
    KindName{EventKind::ProcessStopped, "process_stopped"},
    KindName{EventKind::RequestReceived, "request_received"},
    KindName{EventKind::RequestDispatched, "request_dispatched"},
    KindName{EventKind::RequestAnswered, "request_answered"},
    KindName{EventKind::RequestRetried, "request_retried"},
    KindName{EventKind::RequestNotRun, "request_not_run"},
    KindName{EventKind::RequestUnknown, "request_unknown"},
    KindName{EventKind::WorkerEjected, "worker_ejected"},
    KindName{EventKind::WorkerLeaving, "worker_leaving"},
    KindName{EventKind::MemberChanged, "member_changed"},
    KindName{EventKind::RumorSpread, "rumor_spread"},
    KindName{EventKind::RumorLearned, "rumor_learned"},
    KindName{EventKind::ConfigAccepted, "config_accepted"},
    KindName{EventKind::ConfigInForce, "config_in_force"},
    KindName{EventKind::LinkGranted, "link_granted"},
    KindName{EventKind::PlacementChanged, "placement_changed"},
    KindName{EventKind::Decision, "decision"},
};

} // namespace

std::string_view toString(EventKind Kind) {
  const auto Found = std::ranges::find(KindNames, Kind, &KindName::Kind);
  return Found == KindNames.end() ? "unknown_kind" : Found->Text;
}

std::optional<EventKind> parseEventKind(std::string_view Text) {
  const auto Found = std::ranges::find(KindNames, Text, &KindName::Text);
  if (Found == KindNames.end())
    return std::nullopt;
  return Found->Kind;
}

bool causallyBefore(const Event &Left, const Event &Right) {
  return std::tie(Left.Stamp, Left.Host, Left.Sequence) <
         std::tie(Right.Stamp, Right.Host, Right.Sequence);
}

} // namespace masticgap::coordination
