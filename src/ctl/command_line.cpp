#include "ctl/command_line.hpp"

#include "ctl/report.hpp"
#include "masticgap/state/captured.hpp"

#include <vector>

namespace masticgap::ctl {

namespace {

std::vector<Command> allCommands() {
  std::vector<Command> Commands;
  for (const auto Group :
       {configCommands(), fleetCommands(), gatewayCommands()})
    Commands.insert(Commands.end(), Group.begin(), Group.end());
  return Commands;
}

boost::leaf::error_id unknownCommand(const std::string &CommandName) {
  std::string Names;
  for (const Command &Entry : allCommands())
    Names += (Names.empty() ? "" : ", ") + std::string(Entry.Name);
  return boost::leaf::new_error(
      Error{ErrorKind::InvalidSettings,
            CommandName.empty() ? "the command is missing"
                                : "no command is called " + CommandName,
            "accepted: " + Names});
}

boost::leaf::result<ExitCode> dispatch(const CtlSession &Session,
                                       ArgumentList CommandLine) {
  if (CommandLine.empty())
    return unknownCommand("");
  for (const Command &Entry : allCommands()) {
    if (Entry.Name != CommandLine[0])
      continue;
    const ArgumentList Arguments = CommandLine.subspan(1);
    if (Arguments.size() >= Entry.MinArguments &&
        Arguments.size() <= Entry.MaxArguments)
      return Entry.Run(Session, Arguments);
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidSettings,
              CommandLine[0] + " has " + std::to_string(Arguments.size()) +
                  " arguments",
              "accepted: masticgap-ctl " + CommandLine[0] + " " +
                  std::string(Entry.Syntax)});
  }
  return unknownCommand(CommandLine[0]);
}

ExitCode toExitCode(const Error &E) {
  return E.Kind == ErrorKind::InvalidSettings ? ExitCode::Usage
                                              : ExitCode::Failed;
}

} // namespace

std::string usage() {
  std::string Text = "masticgap-ctl [OPTION...] COMMAND [ARGUMENT...]\n";
  for (const Command &Entry : allCommands())
    Text += "  " + std::string(Entry.Name) + " " + std::string(Entry.Syntax) +
            "\n      " + std::string(Entry.Summary) + "\n";
  return Text;
}

ExitCode runCommand(const CtlOptions &Options, CtlEnvironment &Environment,
                    ArgumentList CommandLine) {
  const CtlSession Session{Options, Environment};
  const auto Outcome =
      capture<ExitCode>([&] { return dispatch(Session, CommandLine); });
  if (const ExitCode *Code = std::get_if<ExitCode>(&Outcome))
    return *Code;
  printError(Session, std::get<Error>(Outcome));
  return toExitCode(std::get<Error>(Outcome));
}

} // namespace masticgap::ctl
