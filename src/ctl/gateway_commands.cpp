#include "ctl/commands.hpp"
#include "ctl/report.hpp"
#include "masticgap/state/error.hpp"
#include "masticgap/state/json_reader.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <array>
#include <string>
#include <utility>

namespace masticgap::ctl {

namespace http = boost::beast::http;

namespace {

using Result = boost::leaf::result<ExitCode>;

boost::leaf::error_id missingOption(std::string Name, std::string Accepted) {
  return boost::leaf::new_error(Error{ErrorKind::InvalidSettings,
                                      std::move(Name) + " is missing",
                                      "accepted: " + std::move(Accepted)});
}

//! Percent-encodes the value of a query parameter.
std::string encoded(std::string_view Value) {
  constexpr std::string_view Unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Text;
  for (const char C : Value) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Unreserved.find(C) != std::string_view::npos)
      Text += C;
    else
      Text.append({'%', Digits[Byte / 16], Digits[Byte % 16]});
  }
  return Text;
}

//! Returns the body of a GET at the metrics port of the gateway.
boost::leaf::result<std::string> get(const CtlSession &Session,
                                     const std::string &Target) {
  if (!Session.Options.Gateway)
    return missingOption("--gateway", "ip:port of a gateway's metrics port");
  const Endpoint &Gateway = *Session.Options.Gateway;
  const std::string Name = "gateway " + toString(Gateway);
  try {
    const transport::HttpResponse Answer = transport::fetchNow(
        Gateway, transport::makeRequest(http::verb::get, Gateway, Target),
        Session.Options.CallTimeout);
    if (Answer.result() == http::status::ok)
      return Answer.body();
    return boost::leaf::new_error(
        Error{ErrorKind::Unavailable,
              Name + " answered " + std::to_string(Answer.result_int()) +
                  " to " + Target,
              "check the arguments, and that --gateway is the metrics port of "
              "a gateway"});
  } catch (const boost::system::system_error &E) {
    return boost::leaf::new_error(
        Error{ErrorKind::Unavailable,
              Name + " gave no answer (" + E.code().message() + ")",
              "check --gateway, and metrics_port in its settings"});
  }
}

Result print(const CtlSession &Session, const std::string &Body) {
  JsonErrors Errors(ErrorKind::Protocol);
  const boost::json::value View = parseJson(Body, Errors);
  const ObjectReader Reader(View, "", Errors);
  if (Errors)
    return boost::leaf::new_error(Errors.first());
  if (Session.Options.Json)
    Session.Environment.Out << Body << '\n';
  else
    printState(Session.Environment.Out, View.as_object());
  return ExitCode::Done;
}

Result explain(const CtlSession &Session, ArgumentList) {
  const CtlOptions &Options = Session.Options;
  if (Options.HostName.empty())
    return missingOption("--host_name", "host name of the request");
  if (!Options.Path.starts_with('/'))
    return missingOption("--path", "path of the request, from its first slash");
  std::string Target = "/explain?host=" + encoded(Options.HostName) +
                       "&path=" + encoded(Options.Path);
  const std::pair<const char *, const std::string &> Optional[] = {
      {"&method=", Options.Method},
      {"&account=", Options.Account},
      {"&object=", Options.Object}};
  for (const auto &[Name, Value] : Optional)
    if (!Value.empty())
      Target += Name + encoded(Value);
  BOOST_LEAF_AUTO(Body, get(Session, Target));
  return print(Session, Body);
}

Result accounts(const CtlSession &Session, ArgumentList Arguments) {
  BOOST_LEAF_AUTO(
      Body, get(Session, Arguments.empty()
                             ? std::string("/accounts")
                             : "/accounts?name=" + encoded(Arguments[0])));
  return print(Session, Body);
}

constexpr std::array Commands = {
    Command{"accounts", "[NAME]",
            "shows the accounts as the gateway of --gateway sees them", 0, 1,
            accounts},
    Command{"explain", "",
            "shows where the gateway of --gateway would send a request with "
            "--host_name, --path, --method, --account and --object, and why",
            0, 0, explain},
};

} // namespace

std::span<const Command> gatewayCommands() { return Commands; }

} // namespace masticgap::ctl
