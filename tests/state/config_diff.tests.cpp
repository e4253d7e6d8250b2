#include "masticgap/state/config_diff.hpp"

#include "sample_config.hpp"

#include <doctest/doctest.h>

using namespace masticgap;

TEST_CASE("a difference names each changed, added and removed key once") {
  const ConfigDocument Before = tests::sampleConfig();
  ConfigDocument After = Before;
  After.Version = 4;
  After.Reason = "other";
  After.Defaults.MaxShift = 0.25;
  After.Defaults.LinkCaps[0].Mbit = 5000;
  After.Services.erase(ServiceName("sahod"));
  After.Services[ServiceName("takda")] = {};
  const std::vector<ConfigDifference> Expected = {
      {"defaults.link_caps.luzon>visayas", "4000", "5000"},
      {"defaults.max_shift", "0.5", "0.25"},
      {"services.sahod.repeatable_methods", "[]", std::nullopt},
      {"services.takda.repeatable_methods", std::nullopt, "[]"}};
  CHECK(diff(Before, After) == Expected);
  CHECK(diff(Before, Before).empty());
}

TEST_CASE("exceptions are compared by id, not by position") {
  const ConfigDocument Before = tests::sampleConfig();
  ConfigDocument After = Before;
  std::swap(After.Exceptions[0], After.Exceptions[1]);
  CHECK(diff(Before, After).empty());
  After.Exceptions[0].Reason = "cable work";
  CHECK(diff(Before, After) ==
        std::vector<ConfigDifference>{
            {"exceptions.e2.reason", R"("power work")", R"("cable work")"}});
}
