#include "entry/traffic_fixture.hpp"

#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

using namespace masticgap;
using namespace masticgap::tests;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

//! Replaces the parts that differ between runs: ports, ids, times and the name
//! of the worker.
std::string normalised(std::string Text) {
  const std::pair<const char *, const char *> Rules[] = {
      {"127\\.0\\.0\\.1:[0-9]+", "ADDRESS"},
      {"Masticgap-Request-Id: [0-9a-f]{16}", "Masticgap-Request-Id: ID"},
      {"Masticgap-Deadline-Ms: [0-9]+", "Masticgap-Deadline-Ms: MS"},
      {"Masticgap-Worker: w[12]", "Masticgap-Worker: WORKER"},
      {"h[0-9]+\\.5\\.0~", "PREFIX~"},
      {"\r", ""}};
  for (const auto &[Pattern, Replacement] : Rules)
    Text = std::regex_replace(Text, std::regex(Pattern), Replacement);
  return Text;
}

//! Records each message in its wire format.
class Transcript {
public:
  template <class Message>
  void add(const char *Direction, const Message &Recorded) {
    Out << "--- " << Direction << "\n" << Recorded << "\n";
  }
  std::string text() const { return normalised(Out.str()); }

private:
  std::ostringstream Out;
};

} // namespace

// Guards against unintended changes of headers, status codes and texts between
// callers, entry hosts and workers.
TEST_CASE("the messages of a session equal the golden file") {
  TrafficFixture Fixture;
  TestCaller Caller(Fixture.local());
  Transcript Session;
  HttpRequest Named = makeGet("/agenda/slots?day=1");
  Named.set("Masticgap-Request-Id", "caller-1");
  const std::pair<HttpRequest, std::vector<Reaction>> Steps[] = {
      {Named, {}},
      {makePost(Fixture.boundKey("b1"), "book"), {}},
      {makePost(Fixture.boundKey("b1"), "book"), {}},
      {makePost(Fixture.boundKey("b1"), "other"), {}},
      {makePost("", "book"), {}},
      {makePost(Fixture.boundKey("b2"), "book"), {Reaction::RefuseFull}},
      {makePost(Fixture.boundKey("b3"), "book"), {Reaction::ResetRead}},
      {makePost("gone.9.0~b4", "book"), {}},
      {makeGet("/unknown/x"), {}}};
  std::size_t Recorded[2] = {0, 0};
  const FakeWorker *Workers[2] = {&Fixture.First, &Fixture.Second};
  for (const auto &[Request, Script] : Steps) {
    Fixture.Reactions->set(Script);
    Session.add("caller to entry host", Request);
    const HttpResponse Answer = Caller.run(Request);
    for (std::size_t I = 0; I < 2; ++I)
      for (const auto Requests = Workers[I]->seen();
           Recorded[I] < Requests.size(); ++Recorded[I])
        Session.add("entry host to worker", Requests[Recorded[I]]);
    Session.add("entry host to caller", Answer);
  }
  const std::string Path = MASTICGAP_GOLDEN_DIR "/entry_session.txt";
  if (std::getenv("MASTICGAP_UPDATE_GOLDEN"))
    std::ofstream(Path) << Session.text();
  std::ifstream File(Path);
  const std::string Golden{std::istreambuf_iterator<char>(File), {}};
  CHECK(Session.text() == Golden);
}
