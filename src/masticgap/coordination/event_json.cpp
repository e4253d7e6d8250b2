#include "masticgap/coordination/event_json.hpp"

#include "masticgap/state/error.hpp"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <limits>
#include <utility>

namespace masticgap::coordination {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view Remedy =
    "give lines as GET /events of an admin port writes them";

auto fail(std::string Message) {
  return leaf::new_error(
      Error{ErrorKind::Protocol, std::move(Message), std::string(Remedy)});
}

void putText(json::object &Object, std::string_view Key,
             const std::string &Text) {
  if (!Text.empty())
    Object[Key] = Text;
}

leaf::result<std::uint64_t> number(const json::object &Object,
                                   std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return fail("key \"" + std::string(Key) + "\" is missing");
  boost::system::error_code Failed;
  const auto Value = Found->to_number<std::uint64_t>(Failed);
  if (Failed)
    return fail("key \"" + std::string(Key) + "\" is not a whole number");
  return Value;
}

leaf::result<std::string> text(const json::object &Object,
                               std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return std::string();
  if (!Found->is_string())
    return fail("key \"" + std::string(Key) + "\" is not a string");
  return std::string(Found->as_string());
}

leaf::result<EventFields> parseFields(const json::object &Object) {
  EventFields Fields;
  BOOST_LEAF_AUTO(Request, text(Object, "request"));
  BOOST_LEAF_AUTO(Worker, text(Object, "worker"));
  BOOST_LEAF_AUTO(Subject, text(Object, "subject"));
  BOOST_LEAF_ASSIGN(Fields.Change, text(Object, "change"));
  BOOST_LEAF_ASSIGN(Fields.Detail, text(Object, "detail"));
  Fields.Request = RequestId(std::move(Request));
  Fields.Worker = WorkerId(std::move(Worker));
  Fields.Subject = HostId(std::move(Subject));
  return Fields;
}

leaf::result<Event> parseObject(const json::object &Object) {
  Event Result;
  BOOST_LEAF_ASSIGN(Result.Sequence, number(Object, "sequence"));
  BOOST_LEAF_ASSIGN(Result.Stamp.UnixMicros, number(Object, "micros"));
  BOOST_LEAF_AUTO(Logical, number(Object, "logical"));
  if (Logical > std::numeric_limits<std::uint32_t>::max())
    return fail("key \"logical\" is larger than 32 bits");
  Result.Stamp.Logical = static_cast<std::uint32_t>(Logical);
  BOOST_LEAF_AUTO(Host, text(Object, "host"));
  if (Host.empty())
    return fail("key \"host\" is missing");
  Result.Host = HostId(std::move(Host));
  BOOST_LEAF_AUTO(KindText, text(Object, "kind"));
  const auto Kind = parseEventKind(KindText);
  if (!Kind)
    return fail("key \"kind\" has the unknown value \"" + KindText + "\"");
  Result.Kind = *Kind;
  BOOST_LEAF_ASSIGN(Result.Fields, parseFields(Object));
  return Result;
}

} // namespace

std::string toJsonLine(const Event &E) {
  json::object Object;
  Object["sequence"] = E.Sequence;
  Object["micros"] = E.Stamp.UnixMicros;
  Object["logical"] = E.Stamp.Logical;
  Object["host"] = E.Host.value();
  Object["kind"] = toString(E.Kind);
  putText(Object, "request", E.Fields.Request.value());
  putText(Object, "worker", E.Fields.Worker.value());
  putText(Object, "subject", E.Fields.Subject.value());
  putText(Object, "change", E.Fields.Change);
  putText(Object, "detail", E.Fields.Detail);
  return json::serialize(Object);
}

leaf::result<Event> parseEventLine(std::string_view Line) {
  boost::system::error_code Failed;
  const json::value Parsed = json::parse(Line, Failed);
  if (Failed)
    return fail("not valid JSON: " + Failed.message());
  if (!Parsed.is_object())
    return fail("not a JSON object");
  return parseObject(Parsed.get_object());
}

} // namespace masticgap::coordination
