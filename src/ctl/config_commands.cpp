#include "ctl/change_flow.hpp"
#include "ctl/commands.hpp"
#include "ctl/config_edit.hpp"
#include "ctl/report.hpp"
#include "masticgap/state/exception_kind.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace masticgap::ctl {

namespace {

using Result = boost::leaf::result<ExitCode>;

boost::leaf::result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  if (File)
    return Text.str();
  return boost::leaf::new_error(Error{ErrorKind::InvalidSettings,
                                      "the file " + Path + " cannot be read",
                                      "give the path of a JSON file"});
}

bool isNumber(std::string_view Text) {
  return !Text.empty() && Text.find_first_not_of("0123456789") == Text.npos;
}

//! Loads the document of a version number or of a file.
boost::leaf::result<ConfigDocument> loadDocument(const CtlSession &Session,
                                                 const std::string &Source) {
  if (!isNumber(Source)) {
    BOOST_LEAF_AUTO(Text, readFile(Source));
    return readConfigFile({}, Text);
  }
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Version, parseNumber("VERSION", Source));
  return Store.version(Version);
}

boost::leaf::result<ConfigDocument> loadCurrent(const CtlSession &Session) {
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Row, Store.current());
  if (Row.RowVersion > 0)
    return Row.Document;
  return boost::leaf::new_error(
      Error{ErrorKind::NotFound, "there is no configuration yet",
            "make the first one with masticgap-ctl apply FILE "
            "--base_version 0"});
}

Result show(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Document, Arguments.empty()
                                ? loadCurrent(Session)
                                : loadDocument(Session, Arguments[0]));
  printDocument(Session, Document);
  return ExitCode::Done;
}

Result showDiff(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Before, loadDocument(Session, Arguments[0]));
  BOOST_LEAF_AUTO(After, Arguments.size() > 1
                             ? loadDocument(Session, Arguments[1])
                             : loadCurrent(Session));
  printDifferences(Session, diff(Before, After));
  return ExitCode::Done;
}

Result runSetDefault(const CtlSession &Session, ArgumentList Arguments) {
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return setDefault(Base, Arguments[0], Arguments[1]);
  });
}

boost::leaf::result<ConfigException> makeException(const CtlSession &Session,
                                                   ArgumentList Arguments) {
  const CtlOptions &Options = Session.Options;
  const auto Kind = parseExceptionKind(Arguments[0]);
  if (!Kind)
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidSettings, "KIND is \"" + Arguments[0] + "\"",
              "accepted: " + std::string(AcceptedExceptionKinds)});
  ConfigException Exception;
  Exception.Kind = *Kind;
  Exception.Subject = Arguments[1];
  Exception.Id =
      Options.Id.empty() ? Arguments[0] + "-" + Arguments[1] : Options.Id;
  if (!Options.Service.empty())
    Exception.Service = ServiceName(Options.Service);
  Exception.Value = Options.Value;
  Exception.Reason = Options.Reason;
  Exception.Operator = Options.Operator;
  if (!Options.Expires.empty()) {
    BOOST_LEAF_ASSIGN(
        Exception.ExpiresUnixMs,
        parseExpires(Options.Expires, Session.Environment.UnixMs()));
  }
  return Exception;
}

Result runAddException(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Added, makeException(Session, Arguments));
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return addException(Base, Added);
  });
}

Result runRemoveException(const CtlSession &Session, ArgumentList Arguments) {
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return removeException(Base, Arguments[0]);
  });
}

Result showHistory(const CtlSession &Session, ArgumentList) {
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Versions, Store.history());
  printHistory(Session, Versions);
  return ExitCode::Done;
}

Result validate(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Text, readFile(Arguments[0]));
  BOOST_LEAF_CHECK(readConfigFile({}, Text));
  Session.Environment.Out << (Session.Options.Json
                                  ? std::string(R"({"valid":true})")
                                  : Arguments[0] + " is valid")
                          << '\n';
  return ExitCode::Done;
}

Result apply(const CtlSession &Session, ArgumentList Arguments) {
  if (!Session.Options.BaseVersion)
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidSettings, "--base_version is missing",
              "accepted: the version that the file was made from"});
  BOOST_LEAF_AUTO(Text, readFile(Arguments[0]));
  return changeConfig(Session, [&](const ConfigDocument &Base) {
    return readConfigFile(Base, Text);
  });
}

Result rollback(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(Store, Session.store());
  BOOST_LEAF_AUTO(Version, parseNumber("VERSION", Arguments[0]));
  BOOST_LEAF_AUTO(Restored, Store.version(Version));
  return changeConfig(Session, [&](const ConfigDocument &) {
    return boost::leaf::result<ConfigDocument>(Restored);
  });
}

constexpr std::array Commands = {
    Command{"show", "[VERSION]", "shows a configuration, by default the newest",
            0, 1, show},
    Command{"diff", "VERSION|FILE [VERSION|FILE]",
            "compares two configurations, the second one by default the newest",
            1, 2, showDiff},
    Command{"set-default", "KEY VALUE", "changes one key of defaults", 2, 2,
            runSetDefault},
    Command{"add-exception", "KIND SUBJECT",
            "adds an exception (--id, --service, --value, --expires)", 2, 2,
            runAddException},
    Command{"remove-exception", "ID", "removes an exception", 1, 1,
            runRemoveException},
    Command{"history", "", "lists all accepted changes", 0, 0, showHistory},
    Command{"validate", "FILE", "checks a file without applying it", 1, 1,
            validate},
    Command{"apply", "FILE", "replaces the configuration (--base_version)", 1,
            1, apply},
    Command{"rollback", "VERSION",
            "makes the content of an older version the newest version", 1, 1,
            rollback},
};

} // namespace

std::span<const Command> configCommands() { return Commands; }

} // namespace masticgap::ctl
