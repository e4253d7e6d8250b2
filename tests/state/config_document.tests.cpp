#include "masticgap/state/config_document.hpp"

#include "masticgap/state/captured.hpp"
#include "masticgap/state/config_keys.hpp"
#include "sample_config.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <set>

using namespace masticgap;

namespace {

Captured<ConfigDocument> parse(std::string_view Json) {
  return capture<ConfigDocument>([&] { return parseConfigDocument(Json); });
}

//! Collects the paths of all members, with "*" for names and "[]" for lists.
void collectPaths(const boost::json::value &Value, const std::string &Path,
                  std::set<std::string> &Out) {
  if (const auto *Members = Value.if_object())
    for (const auto &Member : *Members) {
      const bool IsName = Path == "services" || Path == "defaults.spill_order";
      const std::string Key(Member.key().data(), Member.key().size());
      const std::string At =
          (Path.empty() ? "" : Path + ".") + (IsName ? "*" : Key);
      Out.insert(At);
      collectPaths(Member.value(), At, Out);
    }
  if (const auto *List = Value.if_array())
    for (const auto &Element : *List)
      collectPaths(Element, Path + "[]", Out);
}

} // namespace

TEST_CASE("a document round-trips through JSON") {
  const ConfigDocument D = tests::sampleConfig();
  const auto Read = parse(toJson(D));
  REQUIRE(std::holds_alternative<ConfigDocument>(Read));
  CHECK(std::get<ConfigDocument>(Read) == D);
  CHECK(toJson(std::get<ConfigDocument>(Read)) == toJson(D));
}

TEST_CASE(
    "configKeys lists exactly the keys of a document with every key set") {
  std::set<std::string> Paths;
  collectPaths(boost::json::parse(toJson(tests::sampleConfig())), "", Paths);
  const auto Keys = configKeys();
  CHECK(Paths == std::set<std::string>(Keys.begin(), Keys.end()));
}

TEST_CASE("absent keys of defaults have their default values") {
  const auto Read =
      parse(R"({"version":1,"base_version":0,"change_id":"c","operator":"o",)"
            R"("reason":"r","defaults":{},"services":{},"exceptions":[]})");
  REQUIRE(std::holds_alternative<ConfigDocument>(Read));
  CHECK(std::get<ConfigDocument>(Read).Defaults == ConfigDefaults());
}

TEST_CASE("a malformed document gives one error with key, value and remedy") {
  struct Case {
    const char *From;
    const char *To;
    const char *Message;
    const char *Remedy;
  };
  const Case Cases[] = {
      {R"("version":3,)", "", "version is missing", "add it"},
      {R"("version":3,)", R"("version":0,)", "version is 0", "from 1"},
      {R"("version":3,)", R"("version":"3",)", R"(version is "3")", "whole"},
      {R"("base_version":2,)", R"("base_version":3,)", "base_version is 3",
       "from 0 to 2"},
      {R"("operator":"ana",)", R"("operator":"",)", R"(operator is "")",
       "1 to 100 bytes"},
      {R"("reason":"first values")", R"("reason":"a\u0001")", "reason is",
       "without control characters"},
      {R"("defaults":{)", R"("color":1,"defaults":{)",
       "color is not a known key (value 1)", "accepted keys: version,"},
      {R"("max_shift":5E-1)", R"("max_shift":1.5)", "defaults.max_shift is 1.5",
       "a number from 0 to 1"},
      {R"("max_shift":5E-1)", R"("max_shift":null)",
       "defaults.max_shift is null", "a number from 0 to 1"},
      {R"("max_shift":5E-1)", R"("maxshift":0.5)",
       "defaults.maxshift is not a known key", "max_shift_per_second"},
      {R"("request_timeout_ms":2000)", R"("request_timeout_ms":0.5)",
       "defaults.request_timeout_ms is 0.5", "1 to 600000"},
      {R"("max_entry_hosts":32)", R"("max_entry_hosts":4294967297)",
       "defaults.max_entry_hosts is 4294967297", "1 to 10000"},
      {R"(["visayas"])", R"("visayas")", "defaults.spill_order.luzon is",
       "a list of regions"},
      {R"(["visayas"])", R"(["luzon"])", "defaults.spill_order.luzon[0] is",
       "other than luzon"},
      {R"(["visayas"])", R"(["a","a"])",
       "defaults.spill_order.luzon[1] repeats", "once"},
      {R"("mbit":4000)", R"("mbit":-1)", "defaults.link_caps[0].mbit is -1",
       "from 1"},
      {R"("to":"visayas")", R"("to":"luzon")", "link_caps[0].to is", "other"},
      {R"("mbit":4000})",
       R"("mbit":1},{"from":"luzon","to":"visayas","mbit":2})",
       "link_caps[1] repeats the link", "once"},
      {R"(["PUT"])", R"(["put"])", "repeatable_methods[0] is", "PUT, POST"},
      {R"("agenda":{)", R"("a b":{)", R"(services has the member "a b")",
       "a name"},
      {R"("agenda":{)", R"("agenda":1,"x":{)", "services.agenda is 1",
       "an object"},
      {R"("kind":"shift_cap")", R"("kind":"cap")", R"(kind is "cap")",
       "avoid_region, avoid_domain"},
      {R"("value":2.5E-1,)", "", "exceptions[0].value is missing", "add it"},
      {R"("value":2.5E-1,)", R"("value":2,)", "exceptions[0].value is 2",
       "0 to 1"},
      {R"("subject":"agenda")", R"("subject":"none")",
       R"(exceptions[0].subject is "none")", "agenda, sahod"},
      {R"("service":"sahod")", R"("service":"sahod","value":0.1)",
       "exceptions[1].value is set", "only for kind shift_cap"},
      {R"("service":"sahod")", R"("service":"none")",
       R"(exceptions[1].service is "none")", "agenda, sahod"},
      {R"("id":"e2")", R"("id":"e1")", R"(exceptions[1].id repeats "e1")",
       "no other"},
      {R"("reason":"power work",)", "", "exceptions[1].reason is missing",
       "add it"},
      {R"("exceptions":[)", R"("exceptions":{},"x":[)", "exceptions is {}",
       "a list"},
  };
  const std::string Good = toJson(tests::sampleConfig());
  for (const auto &C : Cases) {
    CAPTURE(C.From);
    CAPTURE(C.To);
    std::string Text = Good;
    const auto At = Text.find(C.From);
    REQUIRE(At != std::string::npos);
    const auto Read =
        parse(Text.replace(At, std::string_view(C.From).size(), C.To));
    REQUIRE(std::holds_alternative<Error>(Read));
    const Error &E = std::get<Error>(Read);
    CAPTURE(describe(E));
    CHECK((E.Kind == ErrorKind::InvalidConfiguration));
    CHECK(E.Message.find(C.Message) != std::string::npos);
    CHECK(E.Remedy.find(C.Remedy) != std::string::npos);
  }
}

TEST_CASE("a truncated document is rejected") {
  const std::string Good = toJson(tests::sampleConfig());
  for (std::size_t Length = 0; Length < Good.size(); ++Length) {
    CAPTURE(Length);
    CHECK(std::holds_alternative<Error>(parse(Good.substr(0, Length))));
  }
}
