#include "masticgap/coordination/idempotency_key.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;

// Guards against two hosts that classify a text differently: one host would
// dispatch it as a key bound to it while the other claims it as a bare key.
TEST_CASE("a key text is bound, bare or refused") {
  enum class Kind { Bound, Bare, Refused };
  struct Case {
    const char *Name;
    std::string Text;
    Kind Expected;
  };
  const Case Cases[] = {
      {"prefix and text", "vis-1.77.3~a", Kind::Bound},
      {"host with dots", "a.b.77.3~a", Kind::Bound},
      {"second tilde belongs to the text", "vis-1.77.3~a~b", Kind::Bound},
      {"largest numbers", "h.18446744073709551615.18446744073709551615~a",
       Kind::Bound},
      {"prefix without text", "vis-1.77.3~", Kind::Refused},
      {"empty", "", Kind::Refused},
      {"space", "a b", Kind::Refused},
      {"control character", "a\nb", Kind::Refused},
      {"beyond ASCII", "\xc3\xa9", Kind::Refused},
      {"longest", std::string(MaxKeyLength, 'x'), Kind::Bare},
      {"too long", std::string(MaxKeyLength + 1, 'x'), Kind::Refused},
      {"no prefix", "order-1", Kind::Bare},
      {"no host", ".77.3~a", Kind::Bare},
      {"one number", "vis-1.77~a", Kind::Bare},
      {"only dots", "..~a", Kind::Bare},
      {"leading zero", "vis-1.077.3~a", Kind::Bare},
      {"sign", "vis-1.+77.3~a", Kind::Bare},
      {"number too large", "vis-1.18446744073709551616.3~a", Kind::Bare},
      {"host character", "vis/1.77.3~a", Kind::Bare},
      {"long host", std::string(MaxKeyHostLength + 1, 'h') + ".77.3~a",
       Kind::Bare},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const auto Key = parseIdempotencyKey(C.Text);
    CHECK(Key.has_value() == (C.Expected != Kind::Refused));
    if (!Key)
      continue;
    CHECK(Key->Text == C.Text);
    CHECK(Key->Bound.has_value() == (C.Expected == Kind::Bound));
  }
}

TEST_CASE("a formatted prefix parses to the same binding") {
  const Binding Bindings[] = {
      {HostId("vis-1"), {1}, 0},
      {HostId("a.b"), {std::uint64_t{1} << 63}, 12345},
      {HostId("9"), {0}, 1},
  };
  for (const auto &B : Bindings) {
    CAPTURE(formatKeyPrefix(B));
    const auto Key = parseIdempotencyKey(formatKeyPrefix(B) + "text");
    REQUIRE(Key);
    CHECK(Key->Bound == B);
  }
}
