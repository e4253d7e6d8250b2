#include "ctl/change_flow.hpp"

#include "ctl/change_id.hpp"
#include "ctl/report.hpp"
#include "masticgap/coordination/config_change.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/state/config_limits.hpp"

#include <algorithm>

namespace masticgap::ctl {

namespace {

//! Document that a change is based on.
struct ChangeBase {
  std::uint64_t RowVersion = 0;
  ConfigDocument Document;
};

boost::leaf::result<void> requireOption(std::string_view Option,
                                        const std::string &Text,
                                        std::size_t MaxLength) {
  if (!Text.empty() && Text.size() <= MaxLength)
    return {};
  return boost::leaf::new_error(Error{
      ErrorKind::InvalidSettings,
      std::string(Option) + (Text.empty() ? " is missing" : " is too long"),
      "accepted: a text of 1 to " + std::to_string(MaxLength) + " bytes"});
}

bool hasProblem(const HostStatus &Status) { return !Status.Problem.empty(); }

//! Returns the newest document of the live hosts if it is newer than the
//! store's, else the store's.
boost::leaf::result<ConfigDocument> newestDocument(const CtlSession &Session,
                                                   const FleetAccess &Fleet,
                                                   ConfigDocument FromStore) {
  if (Session.Options.StoreOnly)
    return FromStore;
  const HostStatus *Newest = nullptr;
  const std::vector<HostStatus> Statuses = Fleet.status(Fleet.liveHosts());
  for (const HostStatus &Candidate : Statuses)
    if (Candidate.Problem.empty() &&
        Candidate.ConfigVersion >
            (Newest ? Newest->ConfigVersion : FromStore.Version))
      Newest = &Candidate;
  if (!Statuses.empty() &&
      std::all_of(Statuses.begin(), Statuses.end(), hasProblem))
    return boost::leaf::new_error(
        Error{ErrorKind::Unavailable,
              "no entry host answered, so that the newest version is not known",
              "give --entry of a live host, or --store_only if the store was "
              "not restored"});
  if (!Newest)
    return FromStore;
  BOOST_LEAF_AUTO(Body, Fleet.get(Newest->Host, "/peer/config"));
  BOOST_LEAF_AUTO(Document, parseConfigDocument(Body));
  if (!Session.Options.Json)
    Session.Environment.Err << "the store has version " << FromStore.Version
                            << " and entry host " << Newest->Host.Id
                            << " has version " << Document.Version
                            << ": the change is made on the newer one\n";
  return Document;
}

//! Returns the newest document as the base of a change. A restored store may
//! have older rows than the hosts: a change based on them would lose the
//! changes in between, and no host would accept it.
boost::leaf::result<ChangeBase> loadBase(const CtlSession &Session,
                                         const StoreAccess &Store,
                                         const FleetAccess &Fleet) {
  BOOST_LEAF_AUTO(Row, Store.current());
  BOOST_LEAF_AUTO(Document,
                  newestDocument(Session, Fleet, std::move(Row.Document)));
  return ChangeBase{Row.RowVersion, std::move(Document)};
}

ExitCode notifyAndWait(const CtlSession &Session, const FleetAccess &Fleet,
                       const ConfigDocument &Base, const ConfigDocument &Next) {
  Fleet.notify(Next.Version);
  if (Session.Options.NoWait) {
    printAccepted(Session, Base, Next, nullptr);
    return ExitCode::Done;
  }
  const RolloutReport Rollout =
      Fleet.waitUntilInForce(Next.Version, Session.Options.WaitLimit);
  printAccepted(Session, Base, Next, &Rollout);
  return Rollout.complete() ? ExitCode::Done : ExitCode::Failed;
}

//! Rejects a change whose --base_version is not the newest version.
boost::leaf::result<ExitCode> rejectStaleBase(const CtlSession &Session,
                                              const StoreAccess &Store,
                                              const ConfigDocument &Current) {
  const std::uint64_t RequestedVersion = *Session.Options.BaseVersion;
  if (RequestedVersion > Current.Version)
    return boost::leaf::new_error(
        Error{ErrorKind::NotFound,
              "--base_version is " + std::to_string(RequestedVersion),
              "accepted: " + std::to_string(Current.Version) +
                  ", the newest version"});
  ConfigDocument Base;
  if (RequestedVersion > 0) {
    BOOST_LEAF_ASSIGN(Base, Store.version(RequestedVersion));
  }
  printRace(Session, Base, &Current);
  return ExitCode::Raced;
}

} // namespace

boost::leaf::result<ExitCode> changeConfig(const CtlSession &Session,
                                           const EditFunction &Edit) {
  const CtlOptions &Options = Session.Options;
  BOOST_LEAF_CHECK(requireOption("--reason", Options.Reason, MaxReasonLength));
  BOOST_LEAF_CHECK(
      requireOption("--operator", Options.Operator, MaxOperatorLength));
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Fleet, Session.fleet());
  BOOST_LEAF_AUTO(Base, loadBase(Session, Store, Fleet));
  if (Options.BaseVersion && *Options.BaseVersion != Base.Document.Version)
    return rejectStaleBase(Session, Store, Base.Document);
  BOOST_LEAF_AUTO(Edited, Edit(Base.Document));
  if (diff(Base.Document, Edited).empty())
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidRequest,
              "the change has no effect on version " +
                  std::to_string(Base.Document.Version),
              "compare with masticgap-ctl show"});
  const CtlEnvironment &Environment = Session.Environment;
  const ConfigDocument Next = coordination::prepareChange(
      Base.Document, std::move(Edited),
      {makeChangeId(Environment.UnixMs(), Environment.Random()),
       Options.Operator, Options.Reason});
  // Validates the operator and the reason like those of any other document.
  BOOST_LEAF_CHECK(parseConfigDocument(toJson(Next)));
  const auto Result = Store.change(Next, Base.RowVersion, Options.WaitLimit);
  if (const auto *Raced = std::get_if<coordination::ChangeRaced>(&Result)) {
    printRace(Session, Base.Document,
              Raced->Winner ? &*Raced->Winner : nullptr);
    return ExitCode::Raced;
  }
  if (const auto *Unsettled =
          std::get_if<coordination::ChangeUnsettled>(&Result))
    return boost::leaf::new_error(Unsettled->Reason);
  return notifyAndWait(Session, Fleet, Base.Document, Next);
}

} // namespace masticgap::ctl
