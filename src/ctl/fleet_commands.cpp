#include "ctl/change_flow.hpp"
#include "ctl/commands.hpp"
#include "ctl/config_edit.hpp"
#include "ctl/report.hpp"
#include "masticgap/state/json_reader.hpp"

#include <algorithm>
#include <array>

namespace masticgap::ctl {

namespace {

using Result = boost::leaf::result<ExitCode>;

std::string drainExceptionId(const std::string &Worker) {
  return "drain-" + Worker;
}

Result wait(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Version, parseNumber("VERSION", Arguments[0]));
  BOOST_LEAF_AUTO(Fleet, Session.fleet());
  const RolloutReport Rollout =
      Fleet.waitUntilInForce(Version, Session.Options.WaitLimit);
  printRollout(Session, Version, Rollout);
  return Rollout.complete() ? ExitCode::Done : ExitCode::Failed;
}

Result status(const CtlSession &Session, ArgumentList) {
  BOOST_LEAF_AUTO(Fleet, Session.fleet());
  BOOST_LEAF_AUTO(Body, Fleet.get("/state"));
  JsonErrors Errors(ErrorKind::Protocol);
  const boost::json::value State = parseJson(Body, Errors);
  const ObjectReader Reader(State, "", Errors);
  if (Errors)
    return boost::leaf::new_error(Errors.first());
  if (Session.Options.Json)
    Session.Environment.Out << Body << '\n';
  else
    printState(Session.Environment.Out, State.as_object());
  return ExitCode::Done;
}

boost::leaf::result<std::optional<FleetHost>>
findHost(const CtlSession &Session, const std::string &Id) {
  BOOST_LEAF_AUTO(Fleet, Session.fleet());
  for (FleetHost &Candidate : Fleet.liveHosts())
    if (Candidate.Id == Id)
      return std::optional<FleetHost>(std::move(Candidate));
  return std::optional<FleetHost>();
}

Result postToHost(const CtlSession &Session, const FleetHost &Host,
                  std::string_view Path) {
  const FleetAccess Fleet({Host}, Session.Options.CallTimeout);
  BOOST_LEAF_CHECK(Fleet.post(Host, Path, "{}"));
  if (Session.Options.Json)
    Session.Environment.Out << R"({"host":")" << Host.Id << "\"}\n";
  else
    Session.Environment.Out << "entry host " << Host.Id << " took "
                            << Path.substr(1) << '\n';
  return ExitCode::Done;
}

boost::leaf::result<void> requireWorker(const CtlSession &Session,
                                        const std::string &Id) {
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Hosts, Store.hosts());
  const auto HasId = [&](const WorkerDescriptor &Candidate) {
    return Candidate.Id.value() == Id;
  };
  if (std::any_of(Hosts.Workers.begin(), Hosts.Workers.end(), HasId))
    return {};
  return boost::leaf::new_error(
      Error{ErrorKind::NotFound, "no entry host or worker is called " + Id,
            "see masticgap-ctl status for their names"});
}

Result drain(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Host, findHost(Session, Arguments[0]));
  if (Host)
    return postToHost(Session, *Host, "/drain");
  BOOST_LEAF_CHECK(requireWorker(Session, Arguments[0]));
  ConfigException Added;
  Added.Id = drainExceptionId(Arguments[0]);
  Added.Kind = ExceptionKind::DrainWorker;
  Added.Subject = Arguments[0];
  Added.Reason = Session.Options.Reason;
  Added.Operator = Session.Options.Operator;
  if (!Session.Options.Expires.empty()) {
    BOOST_LEAF_ASSIGN(
        Added.ExpiresUnixMs,
        parseExpires(Session.Options.Expires, Session.Environment.UnixMs()));
  }
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return addException(Base, Added);
  });
}

//! Unlike drain, accepts a worker that is no longer in the host list.
Result undrain(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Host, findHost(Session, Arguments[0]));
  if (Host)
    return postToHost(Session, *Host, "/undrain");
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return removeException(Base, drainExceptionId(Arguments[0]));
  });
}

constexpr std::array Commands = {
    Command{"wait", "VERSION",
            "waits until all live entry hosts hold a version", 1, 1, wait},
    Command{"status", "",
            "shows regions, links, services, workers and hosts as one entry "
            "host sees them",
            0, 0, status},
    Command{"drain", "WORKER|HOST",
            "takes a worker or an entry host out of service", 1, 1, drain},
    Command{"undrain", "WORKER|HOST", "puts it back into service", 1, 1,
            undrain},
};

} // namespace

std::span<const Command> fleetCommands() { return Commands; }

} // namespace masticgap::ctl
