#include "masticgap/protocol/platform_json.hpp"

#include "masticgap/state/captured.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::protocol;
using coordination::StoreOp;

namespace {

const char *const Worker =
    R"({"id":"w","service":"s","region":"r","domain":"d","address":"10.0.0.1",)"
    R"("port":80,"incarnation":18446744073709551615,"slots":3,)"
    R"("max_connections":660})";

std::string replaced(std::string Text, std::string_view From,
                     std::string_view To) {
  const auto At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

TEST_CASE("a host list round-trips through JSON, with 64-bit incarnations") {
  HostList Hosts;
  Hosts.Workers.push_back({WorkerId("w"), ServiceName("s"), RegionName("r"),
                           FailureDomainName("d"), Endpoint{"10.0.0.1", 80},
                           Incarnation{~0ULL}, 3, 660, true});
  Hosts.EntryHosts.push_back({HostId("h"), RegionName("r"),
                              FailureDomainName("d"), Incarnation{7},
                              "10.0.0.2", 1, 2, 3, 4});
  const auto Read =
      capture<HostList>([&] { return parseHostList(toJson(Hosts)); });
  CHECK(std::get<HostList>(Read) == Hosts);
}

TEST_CASE("a malformed worker gives an error that names the key") {
  struct Case {
    const char *From;
    const char *To;
    const char *Message;
    const char *Remedy;
  };
  const Case Cases[] = {
      {R"("id":"w",)", "", "id is missing", "add it"},
      {R"("id":"w")", R"("id":"a b")", R"(id is "a b")", "name of 1 to 64"},
      {R"("port":80)", R"("port":65536)", "port is 65536", "1 to 65535"},
      {R"("port":80)", R"("port":"80")", R"(port is "80")", "whole number"},
      {R"("slots":3)", R"("slots":0)", "slots is 0", "from 1"},
      {R"("slots":3)", R"("slots":1.5)", "slots is 1.5", "whole number"},
      {R"("slots":3)", R"("slots":-1)", "slots is -1", "whole number"},
      {R"("slots":3)", R"("slots":3,"leaving":1)", "leaving is 1", "true or"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.To);
    const auto Json = boost::json::parse(replaced(Worker, C.From, C.To));
    const auto Read =
        capture<WorkerDescriptor>([&] { return parseWorkerDescriptor(Json); });
    REQUIRE(std::holds_alternative<Error>(Read));
    const Error &E = std::get<Error>(Read);
    CHECK((E.Kind == ErrorKind::Protocol));
    CHECK(E.Message.find(C.Message) != std::string::npos);
    CHECK(E.Remedy.find(C.Remedy) != std::string::npos);
  }
}

TEST_CASE("errors in lists name the element") {
  const auto Read = capture<HostList>([&] {
    return parseHostList(std::string(R"({"workers":[)") + Worker +
                         R"(,{"id":1}],"entry_hosts":[]})");
  });
  CHECK(std::get<Error>(Read).Message == "workers[1].id is 1");
}

// Guards against a host that stops following the list because of one entry.
TEST_CASE("a worker that cannot be read is skipped and named") {
  struct Case {
    std::string Entry;
    const char *Message;
  };
  const Case Cases[] = {
      {R"({"id":1})", "workers[1].id is 1"},
      {"7", "workers[1] is 7"},
      {"null", "workers[1] is null"},
      {replaced(Worker, R"("port":80)", R"("port":65536)"),
       "workers[1].port is 65536"},
      {replaced(Worker, R"("port":80)", R"("port":0)"), "workers[1].port is 0"},
      {replaced(Worker, R"("slots":3)", R"("slots":1e999999999)"),
       "workers[1].slots is "},
      {replaced(Worker, R"("slots":3)", R"("slots":18446744073709551616)"),
       "workers[1].slots is "},
      {replaced(Worker, R"("id":"w")",
                R"("id":")" + std::string(65536, 'w') + '"'),
       "workers[1].id is "},
  };
  for (const auto &C : Cases) {
    CAPTURE(std::string(C.Message));
    const std::string List = std::string(R"({"workers":[)") + Worker + "," +
                             C.Entry + "," + Worker + R"(],"entry_hosts":[]})";
    const auto Read = capture<HostList>([&] { return readHostList(List); });
    REQUIRE(std::holds_alternative<HostList>(Read));
    const HostList &Hosts = std::get<HostList>(Read);
    CHECK(Hosts.Workers.size() == 2);
    REQUIRE(Hosts.Skipped.size() == 1);
    CHECK(Hosts.Skipped[0].Message.starts_with(C.Message));
    CHECK(describe(Hosts.Skipped[0]).size() < 256);
    CHECK(std::holds_alternative<Error>(
        capture<HostList>([&] { return parseHostList(List); })));
  }
}

TEST_CASE("incomplete and invalid JSON documents are rejected") {
  for (const char *Text :
       {"", "{", "null", "[]", R"({"workers":[]})", R"({"rows":{}})",
        R"({"workers":[],"entry_hosts":[]} x)", "\xff"}) {
    CAPTURE(Text);
    CHECK(std::holds_alternative<Error>(
        capture<HostList>([&] { return parseHostList(Text); })));
    CHECK(std::holds_alternative<Error>(
        capture<HostList>([&] { return readHostList(Text); })));
    CHECK(std::holds_alternative<Error>(
        capture<std::vector<TableRow>>([&] { return parseScan(Text); })));
    CHECK(std::holds_alternative<Error>(
        capture<std::uint64_t>([&] { return parseCommitted(Text); })));
  }
}

TEST_CASE("transactions round-trip through JSON; unknown ops are rejected") {
  const std::vector<StoreOp> Ops = {
      {StoreOp::Kind::Put, "t", "k", "v", std::nullopt},
      {StoreOp::Kind::Put, "t", "k2", "", 0},
      {StoreOp::Kind::Delete, "t", "k3", "", 9},
      {StoreOp::Kind::Check, "t", "k4", "", 1}};
  const auto Read =
      capture<std::vector<StoreOp>>([&] { return parseTransact(toJson(Ops)); });
  CHECK(std::get<std::vector<StoreOp>>(Read) == Ops);
  const auto Bad = capture<std::vector<StoreOp>>([&] {
    return parseTransact(R"({"ops":[{"op":"add","table":"t","key":"k"}]})");
  });
  CHECK(std::get<Error>(Bad).Message == R"(ops[0].op is "add")");
}
