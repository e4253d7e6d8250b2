#include "masticgap/state/config_diff.hpp"

#include "masticgap/state/internal/config_json.hpp"
#include "masticgap/state/json_text.hpp"

namespace masticgap {

namespace json = boost::json;

namespace {

using TextByKey = std::map<std::string, std::string>;

void addMembers(TextByKey &Out, const std::string &Path,
                const json::object &Object) {
  for (const auto &Member : Object) {
    const std::string Key =
        Path + "." + std::string(Member.key().data(), Member.key().size());
    if (const json::object *Inner = Member.value().if_object())
      addMembers(Out, Key, *Inner);
    else
      Out[Key] = shortText(Member.value());
  }
}

} // namespace

std::map<std::string, std::string> flatten(const ConfigDocument &Document) {
  TextByKey Out;
  json::object Defaults = toJsonObject(Document.Defaults);
  Defaults.erase("link_caps");
  addMembers(Out, "defaults", Defaults);
  for (const LinkCap &Cap : Document.Defaults.LinkCaps)
    Out["defaults.link_caps." + Cap.From.value() + ">" + Cap.To.value()] =
        std::to_string(Cap.Mbit);
  for (const auto &[Name, Service] : Document.Services)
    addMembers(Out, "services." + Name.value(), toJsonObject(Service));
  for (const ConfigException &E : Document.Exceptions)
    addMembers(Out, "exceptions." + E.Id, toJsonObject(E));
  return Out;
}

std::vector<ConfigDifference> diff(const ConfigDocument &Before,
                                   const ConfigDocument &After) {
  std::map<std::string, ConfigDifference> Changed;
  for (const auto &[Key, Text] : flatten(Before))
    Changed[Key] = {Key, Text, std::nullopt};
  for (const auto &[Key, Text] : flatten(After)) {
    ConfigDifference &Entry = Changed[Key];
    Entry.Key = Key;
    Entry.After = Text;
  }
  std::vector<ConfigDifference> Out;
  for (auto &[Key, Entry] : Changed)
    if (Entry.Before != Entry.After)
      Out.push_back(std::move(Entry));
  return Out;
}

} // namespace masticgap
