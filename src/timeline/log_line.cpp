#include "timeline/log_line.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace masticgap::timeline {

using coordination::Event;
using coordination::EventKind;

namespace {

constexpr std::string_view TimeKey = "ts=";
constexpr std::uint64_t MicrosPerMilli = 1000;
constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

struct Field {
  std::string_view Name;
  std::string Value;
};

struct EventName {
  std::string_view Text;
  EventKind Kind;
};

//! Log event names with a specific event kind; all others are decisions.
constexpr std::array EventNames{
    EventName{"started", EventKind::ProcessStarted},
    EventName{"stopped", EventKind::ProcessStopped},
    EventName{"rejected", EventKind::RequestNotRun},
    EventName{"worker_gone", EventKind::WorkerEjected},
    EventName{"member", EventKind::MemberChanged},
    EventName{"config_adopted", EventKind::ConfigInForce},
};

//! Consumes a quoted value from the front and resolves its escapes.
std::string consumeQuoted(std::string_view &Rest) {
  std::string Value;
  Rest.remove_prefix(1);
  while (!Rest.empty() && Rest.front() != '"') {
    if (Rest.front() == '\\' && Rest.size() > 1)
      Rest.remove_prefix(1);
    Value += Rest.front();
    Rest.remove_prefix(1);
  }
  Rest.remove_prefix(std::min<std::size_t>(1, Rest.size()));
  return Value;
}

//! Consumes the next field from the front; nothing if there is none.
std::optional<Field> consumeField(std::string_view &Rest) {
  Rest.remove_prefix(std::min(Rest.find_first_not_of(' '), Rest.size()));
  const std::size_t Equal = Rest.find('=');
  if (Equal == std::string_view::npos)
    return std::nullopt;
  Field Parsed{Rest.substr(0, Equal), {}};
  Rest.remove_prefix(Equal + 1);
  if (Rest.starts_with('"')) {
    Parsed.Value = consumeQuoted(Rest);
    return Parsed;
  }
  const std::size_t End = std::min(Rest.find(' '), Rest.size());
  Parsed.Value = Rest.substr(0, End);
  Rest.remove_prefix(End);
  return Parsed;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

//! Returns the event kind for a final HTTP status. After a 5xx status, or
//! without a status, the request may have run; only 503 reports that it did
//! not.
EventKind kindForStatus(std::string_view Status) {
  const auto Code = parseNumber(Status).value_or(0);
  if (Code == ServiceUnavailable)
    return EventKind::RequestNotRun;
  return Code == 0 || Code >= FirstServerError ? EventKind::RequestUnknown
                                               : EventKind::RequestAnswered;
}

EventKind kindForName(std::string_view Name) {
  const auto Match = std::ranges::find(EventNames, Name, &EventName::Text);
  return Match == EventNames.end() ? EventKind::Decision : Match->Kind;
}

} // namespace

bool isLogLine(std::string_view Line) { return Line.starts_with(TimeKey); }

std::optional<Event> parseLogLine(std::string_view Line,
                                  std::uint64_t Sequence) {
  Event Parsed;
  Parsed.Sequence = Sequence;
  std::optional<std::uint64_t> Time;
  std::string Name;
  std::string Host;
  std::string Status;
  while (auto NextField = consumeField(Line)) {
    if (NextField->Name == "ts")
      Time = parseNumber(NextField->Value);
    else if (NextField->Name == "host")
      Host = std::move(NextField->Value);
    else if (NextField->Name == "event")
      Name = std::move(NextField->Value);
    else if (NextField->Name == "id")
      Parsed.Fields.Request = RequestId(std::move(NextField->Value));
    else if (NextField->Name == "worker")
      Parsed.Fields.Worker = WorkerId(std::move(NextField->Value));
    else if (NextField->Name == "peer")
      Parsed.Fields.Subject = HostId(std::move(NextField->Value));
    else {
      if (NextField->Name == "status")
        Status = NextField->Value;
      Parsed.Fields.Detail += ' ' + std::string(NextField->Name) + '=' +
                              std::move(NextField->Value);
    }
  }
  if (!Time || Host.empty() || Name.empty())
    return std::nullopt;
  Parsed.Stamp.UnixMicros = *Time * MicrosPerMilli;
  Parsed.Host = HostId(std::move(Host));
  Parsed.Kind = Name == "request" ? kindForStatus(Status) : kindForName(Name);
  Parsed.Fields.Detail.insert(0, Name);
  return Parsed;
}

} // namespace masticgap::timeline
