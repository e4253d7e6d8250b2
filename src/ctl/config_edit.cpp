#include "ctl/config_edit.hpp"

#include "masticgap/state/internal/config_json.hpp"
#include "masticgap/state/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace masticgap::ctl {

namespace json = boost::json;

namespace {

constexpr std::string_view SpillOrderPrefix = "spill_order.";
constexpr std::string_view LinkCapPrefix = "link_caps.";

//! Validates the members as the successor of the base. Change id, operator and
//! reason are placeholders, which prepareChange() replaces.
boost::leaf::result<ConfigDocument>
validateSuccessor(json::object Members, const ConfigDocument &Base) {
  Members["version"] = Base.Version + 1;
  Members["base_version"] = Base.Version;
  for (const char *Key : {"change_id", "operator", "reason"})
    Members[Key] = "new";
  return parseConfigDocument(json::serialize(Members));
}

//! Parses a JSON value. Text that is not JSON becomes a string, so strings need
//! no quotes on the command line.
json::value parseValue(std::string_view Text) {
  json::error_code Failure;
  json::value Parsed = json::parse(Text, Failure);
  return Failure ? json::value(Text) : Parsed;
}

void setMember(json::object &Members, std::string_view Key, json::value Value) {
  if (Value.is_null())
    Members.erase(Key);
  else
    Members[Key] = std::move(Value);
}

void setLinkCap(json::array &Caps, std::string_view From, std::string_view To,
                json::value Value) {
  const auto Existing =
      std::find_if(Caps.begin(), Caps.end(), [&](const json::value &Cap) {
        return Cap.at("from") == json::value(From) &&
               Cap.at("to") == json::value(To);
      });
  if (Value.is_null()) {
    if (Existing != Caps.end())
      Caps.erase(Existing);
  } else if (Existing != Caps.end()) {
    Existing->as_object()["mbit"] = std::move(Value);
  } else {
    Caps.push_back(
        json::object{{"from", From}, {"to", To}, {"mbit", std::move(Value)}});
  }
}

} // namespace

boost::leaf::result<ConfigDocument> setDefault(const ConfigDocument &Base,
                                               std::string_view Key,
                                               std::string_view Text) {
  constexpr std::string_view Prefix = "defaults.";
  if (Key.starts_with(Prefix))
    Key.remove_prefix(Prefix.size());
  json::object Members = toJsonObject(Base);
  json::object &Defaults = Members["defaults"].as_object();
  json::value Value = parseValue(Text);
  if (Key.starts_with(SpillOrderPrefix)) {
    setMember(Defaults["spill_order"].as_object(),
              Key.substr(SpillOrderPrefix.size()), std::move(Value));
  } else if (Key.starts_with(LinkCapPrefix)) {
    const std::string_view Link = Key.substr(LinkCapPrefix.size());
    const std::size_t Arrow = Link.find('>');
    if (Arrow == std::string_view::npos)
      return boost::leaf::new_error(
          Error{ErrorKind::InvalidConfiguration,
                "the link is \"" + std::string(Link) + "\"",
                "accepted: link_caps.FROM>TO with the names of two regions"});
    setLinkCap(Defaults["link_caps"].as_array(), Link.substr(0, Arrow),
               Link.substr(Arrow + 1), std::move(Value));
  } else {
    setMember(Defaults, Key, std::move(Value));
  }
  return validateSuccessor(std::move(Members), Base);
}

boost::leaf::result<ConfigDocument> addException(const ConfigDocument &Base,
                                                 const ConfigException &Added) {
  ConfigDocument Edited = Base;
  Edited.Exceptions.push_back(Added);
  return validateSuccessor(toJsonObject(Edited), Base);
}

boost::leaf::result<ConfigDocument> removeException(const ConfigDocument &Base,
                                                    std::string_view Id) {
  ConfigDocument Edited = Base;
  const auto HasId = [&](const ConfigException &E) { return E.Id == Id; };
  if (std::erase_if(Edited.Exceptions, HasId) > 0)
    return validateSuccessor(toJsonObject(Edited), Base);
  std::string Ids;
  for (const ConfigException &E : Base.Exceptions)
    Ids += (Ids.empty() ? "" : ", ") + E.Id;
  return boost::leaf::new_error(Error{
      ErrorKind::NotFound, "no exception has the id " + std::string(Id),
      "accepted: " + (Ids.empty() ? "none, there are no exceptions" : Ids)});
}

boost::leaf::result<ConfigDocument> readConfigFile(const ConfigDocument &Base,
                                                   std::string_view Json) {
  JsonErrors Errors(ErrorKind::InvalidConfiguration);
  const json::value Value = parseJson(Json, Errors);
  const ObjectReader Reader(Value, "", Errors);
  if (Errors)
    return boost::leaf::new_error(Errors.first());
  return validateSuccessor(Value.as_object(), Base);
}

} // namespace masticgap::ctl
