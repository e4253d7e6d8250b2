#include "masticgap/state/json_reader.hpp"
#include "masticgap/state/json_text.hpp"

#include <boost/json/parser.hpp>

#include <algorithm>
#include <cmath>

namespace masticgap {

namespace json = boost::json;

namespace {

//! Values longer than this are abbreviated in error messages.
constexpr std::size_t MaxQuotedBytes = 60;

std::string abbreviatedText(const json::value &Value) {
  std::string Text = shortText(Value);
  if (Text.size() > MaxQuotedBytes)
    Text = Text.substr(0, MaxQuotedBytes) + "...";
  return Text;
}

std::string joinWithCommas(const std::vector<std::string> &Words) {
  std::string Out;
  for (const std::string &Word : Words)
    Out += (Out.empty() ? "" : ", ") + Word;
  return Out;
}

bool isControl(char C) {
  return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
}

} // namespace

void JsonErrors::wrongValue(std::string_view Path, const json::value &Value,
                            std::string_view Accepted) {
  add(std::string(Path) + " is " + abbreviatedText(Value),
      "accepted: " + std::string(Accepted));
}

void JsonErrors::add(std::string Message, std::string Remedy) {
  if (!First)
    First = Error{Kind, std::move(Message), std::move(Remedy)};
}

json::value parseJson(std::string_view Text, JsonErrors &Errors) {
  json::parser Parser;
  json::error_code Failure;
  const std::size_t BytesRead = Parser.write(Text.data(), Text.size(), Failure);
  if (!Failure)
    return Parser.release();
  Errors.add("the text is not JSON: " + Failure.message() + " at byte " +
                 std::to_string(BytesRead),
             "send one complete JSON document");
  return {};
}

bool isName(std::string_view Text) {
  const auto Allowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

ObjectReader::ObjectReader(const json::value &Value, std::string Path,
                           JsonErrors &Errors)
    : Members(Value.if_object()), Path(std::move(Path)), Errors(Errors) {
  if (!Members)
    Errors.wrongValue(this->Path.empty() ? "the document" : this->Path, Value,
                      "an object");
}

std::string ObjectReader::path(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

std::string ObjectReader::path(std::string_view Key, std::size_t Index) const {
  return path(Key) + "[" + std::to_string(Index) + "]";
}

bool ObjectReader::has(std::string_view Key) const {
  return Members && Members->contains(Key);
}

const json::value *ObjectReader::find(std::string_view Key, Presence P) {
  AcceptedKeys.emplace_back(Key);
  if (!Members)
    return nullptr;
  const json::value *Member = Members->if_contains(Key);
  if (!Member && P == Required)
    Errors.add(path(Key) + " is missing", "add it");
  return Member;
}

bool ObjectReader::text(std::string_view Key, std::string &Out,
                        std::size_t MaxLength, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return false;
  const json::string *Text = Value->if_string();
  if (!Text || Text->empty() || Text->size() > MaxLength ||
      std::any_of(Text->begin(), Text->end(), isControl)) {
    Errors.wrongValue(path(Key), *Value,
                      "a text of 1 to " + std::to_string(MaxLength) +
                          " bytes without control characters");
    return false;
  }
  Out.assign(Text->data(), Text->size());
  return true;
}

bool ObjectReader::name(std::string_view Key, std::string &Out, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return false;
  const json::string *Text = Value->if_string();
  if (!Text || !isName({Text->data(), Text->size()})) {
    Errors.wrongValue(path(Key), *Value, AcceptedName);
    return false;
  }
  Out.assign(Text->data(), Text->size());
  return true;
}

bool ObjectReader::flag(std::string_view Key, bool &Out, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return false;
  if (!Value->is_bool()) {
    Errors.wrongValue(path(Key), *Value, "true or false");
    return false;
  }
  Out = Value->get_bool();
  return true;
}

bool ObjectReader::number(std::string_view Key, double &Out, double Min,
                          double Max, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return false;
  json::error_code Failure;
  const double Number = Value->to_number<double>(Failure);
  if (Failure || !std::isfinite(Number) || Number < Min || Number > Max) {
    Errors.wrongValue(path(Key), *Value,
                      "a number from " + shortText(Min) + " to " +
                          shortText(Max));
    return false;
  }
  Out = Number;
  return true;
}

bool ObjectReader::integer(std::string_view Key, std::uint64_t &Out,
                           std::uint64_t Min, std::uint64_t Max, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return false;
  json::error_code Failure;
  const auto Number = Value->to_number<std::uint64_t>(Failure);
  if (Failure || Value->is_double() || Number < Min || Number > Max) {
    Errors.wrongValue(path(Key), *Value,
                      "a whole number from " + std::to_string(Min) + " to " +
                          std::to_string(Max));
    return false;
  }
  Out = Number;
  return true;
}

const json::object *ObjectReader::object(std::string_view Key, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return nullptr;
  if (!Value->is_object())
    Errors.wrongValue(path(Key), *Value, "an object");
  return Value->if_object();
}

const json::array *ObjectReader::array(std::string_view Key, Presence P) {
  const json::value *Value = find(Key, P);
  if (!Value)
    return nullptr;
  if (!Value->is_array())
    Errors.wrongValue(path(Key), *Value, "a list");
  return Value->if_array();
}

const json::value *ObjectReader::any(std::string_view Key, Presence P) {
  return find(Key, P);
}

void ObjectReader::rejectOthers() {
  if (!Members)
    return;
  for (const auto &Member : *Members) {
    const std::string Key(Member.key().data(), Member.key().size());
    if (std::find(AcceptedKeys.begin(), AcceptedKeys.end(), Key) !=
        AcceptedKeys.end())
      continue;
    Errors.add(path(Key) + " is not a known key (value " +
                   abbreviatedText(Member.value()) + ")",
               "accepted keys: " + joinWithCommas(AcceptedKeys));
  }
}

} // namespace masticgap
