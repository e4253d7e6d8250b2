#include "masticgap/coordination/intent_row.hpp"

#include <boost/json.hpp>
#include <xxhash.h>

#include <array>
#include <utility>

namespace masticgap::coordination {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<IntentState, std::string_view>, 3> StateNames{
    {{IntentState::Claimed, "claimed"},
     {IntentState::NotRun, "not_run"},
     {IntentState::Done, "done"}}};

std::string_view nameOf(IntentState State) {
  for (const auto &[Value, Text] : StateNames)
    if (Value == State)
      return Text;
  return {};
}

std::optional<std::string> text(const json::object &Object,
                                std::string_view Field) {
  const json::value *Value = Object.if_contains(Field);
  if (!Value || !Value->is_string())
    return std::nullopt;
  return std::string(Value->get_string());
}

std::optional<std::uint64_t> number(const json::object &Object,
                                    std::string_view Field) {
  const json::value *Value = Object.if_contains(Field);
  if (!Value)
    return std::nullopt;
  boost::system::error_code Status;
  const auto Number = Value->to_number<std::uint64_t>(Status);
  if (Status)
    return std::nullopt;
  return Number;
}

std::optional<IntentState> state(const json::object &Object) {
  const auto Found = text(Object, "state");
  for (const auto &[Value, Text] : StateNames)
    if (Found == Text)
      return Value;
  return std::nullopt;
}

} // namespace

std::string intentRowKey(std::string_view Key) {
  const XXH128_hash_t Hash = XXH3_128bits(Key.data(), Key.size());
  XXH128_canonical_t Bytes;
  XXH128_canonicalFromHash(&Bytes, Hash);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const unsigned char Byte : Bytes.digest) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

std::string encodeIntentRow(const IntentRow &Row) {
  return json::serialize(json::object{{"key", Row.Key},
                                      {"holder", Row.Holder.value()},
                                      {"incarnation", Row.Run.Value},
                                      {"nonce", Row.Nonce},
                                      {"fingerprint", Row.Request.Value},
                                      {"state", nameOf(Row.State)}});
}

std::optional<IntentRow> decodeIntentRow(std::string_view Json) {
  boost::system::error_code Status;
  const json::value Parsed = json::parse(Json, Status);
  if (Status || !Parsed.is_object())
    return std::nullopt;
  const json::object &Object = Parsed.get_object();
  const auto Key = text(Object, "key");
  const auto Holder = text(Object, "holder");
  const auto Run = number(Object, "incarnation");
  const auto Nonce = number(Object, "nonce");
  const auto Request = number(Object, "fingerprint");
  const auto State = state(Object);
  if (!Key || !Holder || !Run || !Nonce || !Request || !State)
    return std::nullopt;
  return IntentRow{*Key,   HostId(*Holder),       Incarnation{*Run},
                   *Nonce, Fingerprint{*Request}, *State};
}

} // namespace masticgap::coordination
