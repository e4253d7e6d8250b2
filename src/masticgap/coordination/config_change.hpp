#pragma once

#include "masticgap/coordination/config_change_event.hpp"
#include "masticgap/state/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! Author and purpose of a configuration change.
struct ConfigChangeAuthor {
  std::string ChangeId; //!< Unique among all changes.
  std::string Operator;
  std::string Reason;
};

//! Sets the fields of the edited document that describe the change: version
//! (base + 1), base version, change id, operator and reason.
ConfigDocument prepareChange(const ConfigDocument &Base, ConfigDocument Edited,
                             const ConfigChangeAuthor &Author);

//! Submits a configuration change in one transaction and determines its
//! outcome.
class ConfigChange {
public:
  //! \param Next document from prepareChange().
  //! \param BaseRowVersion version of the row config/current on which the
  //! change is based; 0 if the row does not exist yet.
  //! \param Deadline end of the attempts to determine the outcome after an
  //! answer was lost.
  ConfigChange(ConfigDocument Next, std::uint64_t BaseRowVersion,
               Instant Deadline);

  //! Handles one event.
  //! \returns the store calls to make, or the result.
  std::vector<ConfigChangeAction> handle(const ConfigChangeEvent &Event,
                                         Instant Now);

  //! Returns the time at which the next ConfigChangeTick is due.
  Instant nextTick() const { return NextTick; }

private:
  enum class Step { Submit, ReadChange, ReadWinner, Done };

  void on(const ConfigChangeTick &, Instant Now);
  void on(const ConfigChangeAnswered &E, Instant Now);
  void onAnswer(const StoreCommitted &A, Instant Now);
  void onAnswer(const StoreConflict &A, Instant Now);
  void onAnswer(const StoreRow &A, Instant Now);
  void onAnswer(const StoreLost &A, Instant Now);
  void onWinner(const StoreRow &Row, Instant Now);
  void makeCall(Step NextStep);
  void retryLater(Step NextStep, Instant Now);
  void giveUp();
  void finish(ConfigChangeResult Result);
  StoreTransact transaction() const;

  ConfigDocument Next;
  std::uint64_t BaseRowVersion;
  Instant Deadline;
  Step CurrentStep = Step::Submit;
  bool CallInFlight = false;     //!< A store call is in flight.
  bool SubmitAnswerLost = false; //!< The answer to a submission was lost.
  std::uint64_t CallId = 0;
  Instant NextTick{};
  Duration Backoff{0};
  std::vector<ConfigChangeAction> Actions;
};

} // namespace masticgap::coordination
