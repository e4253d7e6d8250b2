#include "ctl/command_line.hpp"

#include "ctl/report.hpp"
#include "masticgap/state/captured.hpp"

#include <vector>

namespace masticgap::ctl {

namespace {

std::vector<Command> allCommands() {
  std::vector<Command> All;
  for (const auto Group : {configCommands(), fleetCommands()})
    All.insert(All.end(), Group.begin(), Group.end());
  return All;
}

boost::leaf::error_id unknownCommand(const std::string &Word) {
  std::string Names;
  for (const Command &Each : allCommands())
    Names += (Names.empty() ? "" : ", ") + std::string(Each.Name);
  return boost::leaf::new_error(Error{
      ErrorKind::InvalidSettings,
      Word.empty() ? "the command is missing" : "no command is called " + Word,
      "accepted: " + Names});
}

boost::leaf::result<ExitCode> dispatch(const CtlSession &Session,
                                       ArgumentList CommandLine) {
  if (CommandLine.empty())
    return unknownCommand("");
  for (const Command &Each : allCommands()) {
    if (Each.Name != CommandLine[0])
      continue;
    const ArgumentList Arguments = CommandLine.subspan(1);
    if (Arguments.size() >= Each.MinArguments &&
        Arguments.size() <= Each.MaxArguments)
      return Each.Run(Session, Arguments);
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidSettings,
              CommandLine[0] + " has " + std::to_string(Arguments.size()) +
                  " arguments",
              "accepted: masticgap-ctl " + CommandLine[0] + " " +
                  std::string(Each.Syntax)});
  }
  return unknownCommand(CommandLine[0]);
}

ExitCode exitCodeOf(const Error &E) {
  return E.Kind == ErrorKind::InvalidSettings ? ExitCode::Usage
                                              : ExitCode::Failed;
}

} // namespace

std::string usage() {
  std::string Text = "masticgap-ctl [OPTION...] COMMAND [ARGUMENT...]\n";
  for (const Command &Each : allCommands())
    Text += "  " + std::string(Each.Name) + " " + std::string(Each.Syntax) +
            "\n      " + std::string(Each.Summary) + "\n";
  return Text;
}

ExitCode runCommand(const CtlOptions &Options, CtlEnvironment &Environment,
                    ArgumentList CommandLine) {
  const CtlSession Session{Options, Environment};
  const auto Done =
      capture<ExitCode>([&] { return dispatch(Session, CommandLine); });
  if (const ExitCode *Code = std::get_if<ExitCode>(&Done))
    return *Code;
  printError(Session, std::get<Error>(Done));
  return exitCodeOf(std::get<Error>(Done));
}

} // namespace masticgap::ctl
