#include "timeline/event_source.hpp"

#include "timeline/log_line.hpp"

#include "masticgap/coordination/event_json.hpp"
#include "masticgap/state/error.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>
#include <variant>

namespace masticgap::timeline {

namespace leaf = boost::leaf;
using coordination::Event;

namespace {

auto makeError(ErrorKind Kind, std::string Message, std::string Remedy) {
  return leaf::new_error(Error{Kind, std::move(Message), std::move(Remedy)});
}

leaf::result<Event> parseLine(const std::string &Line, const std::string &Name,
                              std::size_t Number) {
  if (isLogLine(Line)) {
    if (auto E = parseLogLine(Line, Number))
      return std::move(*E);
    return makeError(ErrorKind::Protocol,
                     Name + ": line " + std::to_string(Number) +
                         ": no time, host or event name",
                     "give whole lines of a gateway's standard output");
  }
  using Parsed = std::variant<Event, Error>;
  Parsed Result = leaf::try_handle_all(
      [&]() -> leaf::result<Parsed> {
        BOOST_LEAF_AUTO(E, coordination::parseEventLine(Line));
        return Parsed(std::move(E));
      },
      [](const Error &E) { return Parsed(E); },
      [] {
        return Parsed(Error{ErrorKind::Protocol, "not an event", ""});
      });
  if (auto *E = std::get_if<Event>(&Result))
    return std::move(*E);
  const Error &Cause = std::get<Error>(Result);
  return makeError(Cause.Kind,
                   Name + ": line " + std::to_string(Number) + ": " +
                       Cause.Message,
                   Cause.Remedy);
}

leaf::result<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  std::string_view Address = Text.substr(0, std::min(Colon, Text.size()));
  if (Address.starts_with('[') && Address.ends_with(']'))
    Address = Address.substr(1, Address.size() - 2);
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Address, Failed);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  if (!Failed && Colon != std::string_view::npos) {
    const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
    if (Parsed.ec == std::errc() && Parsed.ptr == End && Port != 0)
      return Endpoint{std::string(Address), Port};
  }
  return makeError(ErrorKind::InvalidSettings,
                   "\"" + std::string(Text) + "\" is not an admin endpoint",
                   "give a list such as 10.0.0.1:7002,10.0.0.2:7002");
}

} // namespace

leaf::result<std::vector<Event>> readEvents(std::istream &In,
                                            const std::string &Name) {
  std::vector<Event> Events;
  std::string Line;
  for (std::size_t Number = 1; std::getline(In, Line); ++Number) {
    if (Line.find_first_not_of(" \t\r") == std::string::npos)
      continue;
    BOOST_LEAF_AUTO(Parsed, parseLine(Line, Name, Number));
    Events.push_back(std::move(Parsed));
  }
  return Events;
}

leaf::result<std::vector<Event>> readEventFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeError(
        ErrorKind::NotFound, Path + ": cannot be opened",
        "give files of event JSON lines that exist and are readable");
  return readEvents(File, Path);
}

leaf::result<std::vector<Event>>
fetchEvents(const Endpoint &Admin, std::uint64_t Since,
            std::chrono::milliseconds Timeout) {
  const std::string Name = Admin.Address + ":" + std::to_string(Admin.Port);
  const std::string Remedy =
      "check that an entry host's admin port listens there";
  try {
    const auto Request =
        transport::makeRequest(boost::beast::http::verb::get, Admin,
                               "/events?since=" + std::to_string(Since));
    const auto Answer = transport::fetchNow(Admin, Request, Timeout);
    if (Answer.result() != boost::beast::http::status::ok)
      return makeError(ErrorKind::Unavailable,
                       Name + ": answered with status " +
                           std::to_string(Answer.result_int()),
                       Remedy);
    std::istringstream Body(Answer.body());
    return readEvents(Body, Name);
  } catch (const boost::system::system_error &Failure) {
    return makeError(ErrorKind::Unavailable,
                     Name + ": no answer: " + Failure.code().message(), Remedy);
  }
}

leaf::result<std::vector<Endpoint>> parseEndpoints(std::string_view Text) {
  std::vector<Endpoint> Result;
  while (!Text.empty()) {
    const auto Comma = std::min(Text.find(','), Text.size());
    BOOST_LEAF_AUTO(Admin, parseEndpoint(Text.substr(0, Comma)));
    Result.push_back(std::move(Admin));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  return Result;
}

} // namespace masticgap::timeline
