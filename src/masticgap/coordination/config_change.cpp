#include "masticgap/coordination/config_change.hpp"

#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/state/captured.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Delay before a call is repeated whose answer was lost or from a stale read.
constexpr Duration MinBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::seconds(2);
//! Index of the operation that writes the row config/change/<id>.
constexpr std::size_t ChangeOp = 0;

} // namespace

ConfigDocument prepareChange(const ConfigDocument &Base, ConfigDocument Edited,
                             const ConfigChangeAuthor &Author) {
  Edited.Version = Base.Version + 1;
  Edited.BaseVersion = Base.Version;
  Edited.ChangeId = Author.ChangeId;
  Edited.Operator = Author.Operator;
  Edited.Reason = Author.Reason;
  return Edited;
}

ConfigChange::ConfigChange(ConfigDocument Next, std::uint64_t BaseRowVersion,
                           Instant Deadline)
    : Next(std::move(Next)), BaseRowVersion(BaseRowVersion),
      Deadline(Deadline) {}

std::vector<ConfigChangeAction>
ConfigChange::handle(const ConfigChangeEvent &Event, Instant Now) {
  std::visit([&](const auto &E) { on(E, Now); }, Event);
  return std::exchange(Actions, {});
}

void ConfigChange::on(const ConfigChangeTick &, Instant Now) {
  if (!CallInFlight && CurrentStep != Step::Done && Now >= NextTick)
    makeCall(CurrentStep);
}

void ConfigChange::on(const ConfigChangeAnswered &E, Instant Now) {
  const std::uint64_t Answered =
      std::visit([](const auto &A) { return A.CallId; }, E.Answer);
  if (!CallInFlight || Answered != CallId)
    return;
  CallInFlight = false;
  std::visit([&](const auto &A) { onAnswer(A, Now); }, E.Answer);
}

void ConfigChange::onAnswer(const StoreCommitted &, Instant) {
  finish(ChangeAccepted{Next.Version});
}

void ConfigChange::onAnswer(const StoreConflict &A, Instant) {
  // Only this change writes the row, so an earlier submission whose answer was
  // lost took effect. The conflict proves this even while reads are stale.
  if (std::find(A.FailedOps.begin(), A.FailedOps.end(), ChangeOp) !=
      A.FailedOps.end())
    return finish(ChangeAccepted{Next.Version});
  // The base row cannot reappear, because row versions are never reused. A
  // submission that is still in flight therefore fails too.
  makeCall(Step::ReadWinner);
}

void ConfigChange::onAnswer(const StoreRow &A, Instant Now) {
  if (CurrentStep == Step::ReadWinner)
    return onWinner(A, Now);
  if (A.Found)
    return finish(ChangeAccepted{Next.Version});
  // An absent row proves nothing: the submission may still be in flight, or the
  // read may be stale. Submitting the same transaction again is safe, because
  // it can take effect only once.
  makeCall(Step::Submit);
}

void ConfigChange::onAnswer(const StoreLost &, Instant Now) {
  SubmitAnswerLost = SubmitAnswerLost || CurrentStep == Step::Submit;
  retryLater(CurrentStep == Step::Submit ? Step::ReadChange : CurrentStep, Now);
}

void ConfigChange::onWinner(const StoreRow &Row, Instant Now) {
  // The conflict proved that the row is newer than the base, so a row that is
  // not newer comes from a stale read.
  if (!Row.Found || Row.Version <= BaseRowVersion)
    return retryLater(Step::ReadWinner, Now);
  auto Parsed =
      capture<ConfigDocument>([&] { return parseConfigDocument(Row.Value); });
  auto *Winner = std::get_if<ConfigDocument>(&Parsed);
  if (!Winner)
    return finish(ChangeRaced{std::nullopt});
  if (Winner->Version < Next.Version)
    return retryLater(Step::ReadWinner, Now);
  finish(ChangeRaced{std::move(*Winner)});
}

void ConfigChange::makeCall(Step NextStep) {
  CurrentStep = NextStep;
  CallInFlight = true;
  ++CallId;
  if (NextStep == Step::Submit)
    Actions.emplace_back(transaction());
  else
    Actions.emplace_back(StoreRead{CallId, std::string(ConfigTable),
                                   NextStep == Step::ReadChange
                                       ? configChangeKey(Next.ChangeId)
                                       : std::string(ConfigCurrentKey)});
}

void ConfigChange::retryLater(Step NextStep, Instant Now) {
  CurrentStep = NextStep;
  Backoff = std::clamp(Backoff * 2, MinBackoff, MaxBackoff);
  NextTick = Now + Backoff;
  if (NextTick > Deadline)
    giveUp();
}

void ConfigChange::giveUp() {
  // If no answer to a submission was lost, the conflict is sufficient proof.
  if (CurrentStep == Step::ReadWinner && !SubmitAnswerLost)
    return finish(ChangeRaced{std::nullopt});
  finish(ChangeUnsettled{Error{
      ErrorKind::Unavailable,
      "the store did not confirm whether change " + Next.ChangeId +
          " (version " + std::to_string(Next.Version) + ") took effect",
      "look for the change id with masticgap-ctl history once the store is "
      "available, and repeat the change if it is not listed"}});
}

void ConfigChange::finish(ConfigChangeResult Result) {
  CurrentStep = Step::Done;
  Actions.emplace_back(ConfigChangeDone{std::move(Result)});
}

StoreTransact ConfigChange::transaction() const {
  const std::string Table(ConfigTable);
  const std::string Json = toJson(Next);
  return {CallId,
          {{StoreOp::Kind::Put, Table, configChangeKey(Next.ChangeId),
            std::to_string(Next.Version), 0},
           {StoreOp::Kind::Put, Table, std::string(ConfigCurrentKey), Json,
            BaseRowVersion},
           {StoreOp::Kind::Put, Table, configHistoryKey(Next.Version), Json,
            std::nullopt}}};
}

} // namespace masticgap::coordination
