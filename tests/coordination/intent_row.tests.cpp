#include "masticgap/coordination/intent_row.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;

TEST_CASE("a row survives encoding and decoding") {
  for (const auto State :
       {IntentState::Claimed, IntentState::NotRun, IntentState::Done}) {
    const IntentRow Row{
        "k\"1", HostId("a"), {~std::uint64_t{0}}, 3, {std::uint64_t{1} << 63},
        State};
    CAPTURE(encodeIntentRow(Row));
    CHECK(decodeIntentRow(encodeIntentRow(Row)) == Row);
  }
}

// Guards against treating a damaged or unrelated row as a claim.
TEST_CASE("text that is not a complete row is rejected") {
  const char *const Texts[] = {
      "",
      "{",
      "[]",
      "null",
      R"({"key":"k"})",
      R"({"key":1,"holder":"a","incarnation":1,"nonce":1,"fingerprint":1,"state":"done"})",
      R"({"key":"k","holder":"a","incarnation":-1,"nonce":1,"fingerprint":1,"state":"done"})",
      R"({"key":"k","holder":"a","incarnation":1,"nonce":1.5,"fingerprint":1,"state":"done"})",
      R"({"key":"k","holder":"a","incarnation":1,"nonce":1,"fingerprint":1,"state":"other"})",
  };
  for (const char *Text : Texts) {
    CAPTURE(Text);
    CHECK_FALSE(decodeIntentRow(Text));
  }
}

TEST_CASE("the row key is a hash of fixed length") {
  CHECK(intentRowKey("k").size() == 32);
  CHECK(intentRowKey("k") != intentRowKey("l"));
}
