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

//! Lines that have a kind of their own; all others are decisions.
constexpr std::array EventNames{
    EventName{"started", EventKind::ProcessStarted},
    EventName{"stopped", EventKind::ProcessStopped},
    EventName{"rejected", EventKind::RequestNotRun},
    EventName{"worker_gone", EventKind::WorkerEjected},
    EventName{"member", EventKind::MemberChanged},
    EventName{"config_adopted", EventKind::ConfigInForce},
};

//! Takes a quoted value, with its escapes resolved, off the front.
std::string takeQuoted(std::string_view &Rest) {
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

std::optional<Field> takeField(std::string_view &Rest) {
  Rest.remove_prefix(std::min(Rest.find_first_not_of(' '), Rest.size()));
  const std::size_t Equal = Rest.find('=');
  if (Equal == std::string_view::npos)
    return std::nullopt;
  Field Taken{Rest.substr(0, Equal), {}};
  Rest.remove_prefix(Equal + 1);
  if (Rest.starts_with('"')) {
    Taken.Value = takeQuoted(Rest);
    return Taken;
  }
  const std::size_t End = std::min(Rest.find(' '), Rest.size());
  Taken.Value = Rest.substr(0, End);
  Rest.remove_prefix(End);
  return Taken;
}

std::optional<std::uint64_t> number(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

//! An answer above this may or may not have run; only 503 tells that it has
//! not.
EventKind kindOfEnd(std::string_view Status) {
  const auto Code = number(Status).value_or(0);
  if (Code == ServiceUnavailable)
    return EventKind::RequestNotRun;
  return Code == 0 || Code >= FirstServerError ? EventKind::RequestUnknown
                                               : EventKind::RequestAnswered;
}

EventKind kindOf(std::string_view Name) {
  const auto Found = std::ranges::find(EventNames, Name, &EventName::Text);
  return Found == EventNames.end() ? EventKind::Decision : Found->Kind;
}

} // namespace

bool isLogLine(std::string_view Line) { return Line.starts_with(TimeKey); }

std::optional<Event> parseLogLine(std::string_view Line,
                                  std::uint64_t Sequence) {
  Event Read;
  Read.Sequence = Sequence;
  std::optional<std::uint64_t> Time;
  std::string Name;
  std::string Host;
  std::string Status;
  while (auto Next = takeField(Line)) {
    if (Next->Name == "ts")
      Time = number(Next->Value);
    else if (Next->Name == "host")
      Host = std::move(Next->Value);
    else if (Next->Name == "event")
      Name = std::move(Next->Value);
    else if (Next->Name == "id")
      Read.Fields.Request = RequestId(std::move(Next->Value));
    else if (Next->Name == "worker")
      Read.Fields.Worker = WorkerId(std::move(Next->Value));
    else if (Next->Name == "peer")
      Read.Fields.Subject = HostId(std::move(Next->Value));
    else {
      if (Next->Name == "status")
        Status = Next->Value;
      Read.Fields.Detail +=
          ' ' + std::string(Next->Name) + '=' + std::move(Next->Value);
    }
  }
  if (!Time || Host.empty() || Name.empty())
    return std::nullopt;
  Read.Stamp.UnixMicros = *Time * MicrosPerMilli;
  Read.Host = HostId(std::move(Host));
  Read.Kind = Name == "request" ? kindOfEnd(Status) : kindOf(Name);
  Read.Fields.Detail.insert(0, Name);
  return Read;
}

} // namespace masticgap::timeline
