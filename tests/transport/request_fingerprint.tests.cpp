#include "masticgap/transport/request_fingerprint.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
namespace http = boost::beast::http;

// Guards against a request that crashes two more workers for each entry host
// that it is sent to: the Host field names the entry host there.
TEST_CASE("a fingerprint is that of the request, wherever it is sent") {
  struct Case {
    const char *Name;
    const char *Host;
    const char *Target;
    const char *Body;
    const char *Scope;
    bool Same;
  };
  const Case Cases[] = {
      {"the same request", "127.0.0.1:8000", "/x", "body", "", true},
      {"another entry host", "127.0.0.2:8000", "/x", "body", "", true},
      {"another target", "127.0.0.1:8000", "/y", "body", "", false},
      {"another body", "127.0.0.1:8000", "/x", "other", "", false},
      {"another scope", "127.0.0.1:8000", "/x", "body", "a.example", false},
  };
  const auto Fingerprint = [](const Case &C) {
    http::request_header<> Head;
    Head.method(http::verb::post);
    Head.target(C.Target);
    Head.set(http::field::host, C.Host);
    return transport::requestFingerprint(Head, C.Body, false, C.Scope).Value;
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    CHECK((Fingerprint(C) == Fingerprint(Cases[0])) == C.Same);
  }
}
