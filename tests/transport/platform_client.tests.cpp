#include "masticgap/transport/platform_client.hpp"

#include "masticgap/transport/http_fetch.hpp"
#include "platform_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::transport;
namespace http = boost::beast::http;

namespace {

StoreOp put(std::string Key, std::string Value,
            std::optional<std::uint64_t> IfVersion = {}) {
  return {StoreOp::Kind::Put, "t", std::move(Key), std::move(Value), IfVersion};
}

//! Client with a separate io_context that runs one call at a time.
struct BlockingClient {
  boost::asio::io_context Io{1};
  PlatformClient Client;

  explicit BlockingClient(const Endpoint &To, PlatformClientLimits Limits = {})
      : Client(Io, To, Limits) {}

  StoreAnswer run(const StoreCall &Call) {
    std::optional<StoreAnswer> Answer;
    Client.run(Call, [&](StoreAnswer A) { Answer = std::move(A); });
    CHECK_FALSE(Answer.has_value()); // Handlers never run inside the call.
    Io.restart();
    Io.run();
    return Answer.value();
  }
  template <class T, class Function> Captured<T> get(Function Start) {
    std::optional<Captured<T>> Answer;
    Start([&](Captured<T> A) { Answer = std::move(A); });
    Io.restart();
    Io.run();
    return Answer.value();
  }
};

void setFault(const Endpoint &To, const std::string &Body) {
  const auto Answer =
      fetchNow(To, makeRequest(http::verb::post, To, "/_fault", Body),
               std::chrono::seconds(10));
  REQUIRE(Answer.result() == http::status::ok);
}

} // namespace

TEST_CASE("store calls return typed answers with their call ids") {
  tests::RunningPlatform Platform;
  BlockingClient Client(Platform.Server.local());
  const auto First = Client.run(StoreTransact{1, {put("a b&c", "x", 0)}});
  REQUIRE(std::holds_alternative<StoreCommitted>(First));
  CHECK(std::get<StoreCommitted>(First).CallId == 1);
  const auto Second =
      Client.run(StoreTransact{2, {put("d", "y"), put("a b&c", "z", 0)}});
  REQUIRE(std::holds_alternative<StoreConflict>(Second));
  CHECK(std::get<StoreConflict>(Second).FailedOps ==
        std::vector<std::size_t>{1});
  const auto Row = std::get<StoreRow>(Client.run(StoreRead{3, "t", "a b&c"}));
  CHECK(Row.CallId == 3);
  CHECK(Row.Found);
  CHECK(Row.Value == "x");
  CHECK_FALSE(std::get<StoreRow>(Client.run(StoreRead{4, "t", "d"})).Found);
}

TEST_CASE("platform faults are reported as StoreLost") {
  struct Case {
    const char *Fault;
    bool TakesEffect;
  };
  const Case Cases[] = {{R"({"down":true})", false},
                        {R"({"lose_answers":true})", true},
                        {R"({"slow_ms":60000})", true}};
  for (const auto &C : Cases) {
    CAPTURE(C.Fault);
    tests::RunningPlatform Platform;
    PlatformClientLimits Limits;
    Limits.Timeout = std::chrono::milliseconds(300);
    BlockingClient Client(Platform.Server.local(), Limits);
    setFault(Platform.Server.local(), C.Fault);
    const auto Answer = Client.run(StoreTransact{7, {put("a", "x")}});
    REQUIRE(std::holds_alternative<StoreLost>(Answer));
    CHECK(std::get<StoreLost>(Answer).CallId == 7);
    setFault(Platform.Server.local(), "{}");
    const auto Row = Client.run(StoreRead{8, "t", "a"});
    REQUIRE(std::holds_alternative<StoreRow>(Row));
    CHECK(std::get<StoreRow>(Row).Found == C.TakesEffect);
  }
}

TEST_CASE("a refused connection is reported as StoreLost or Unavailable") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unused(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t Port = Unused.local_endpoint().port();
  Unused.close();
  BlockingClient Client({"127.0.0.1", Port});
  CHECK(std::holds_alternative<StoreLost>(
      Client.run(StoreTransact{1, {put("a", "x")}})));
  const auto Hosts = Client.get<protocol::HostList>(
      [&](auto Handler) { Client.Client.hosts(Handler); });
  REQUIRE(std::holds_alternative<Error>(Hosts));
  CHECK((std::get<Error>(Hosts).Kind == ErrorKind::Unavailable));
}

TEST_CASE("calls beyond the concurrency limit wait, and beyond the waiting "
          "limit fail") {
  tests::RunningPlatform Platform;
  PlatformClientLimits Limits;
  Limits.MaxConcurrent = 1;
  Limits.MaxWaiting = 2;
  BlockingClient Client(Platform.Server.local(), Limits);
  std::vector<std::uint64_t> Committed;
  std::vector<std::uint64_t> Lost;
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Client.Client.run(StoreTransact{Id, {put("a", "x")}}, [&](StoreAnswer A) {
      if (const auto *Answer = std::get_if<StoreCommitted>(&A))
        Committed.push_back(Answer->CallId);
      else
        Lost.push_back(std::get<StoreLost>(A).CallId);
    });
  Client.Io.run();
  CHECK(Committed == std::vector<std::uint64_t>{1, 2, 3});
  CHECK(Lost == std::vector<std::uint64_t>{4});
}

TEST_CASE("scans return the rows of a prefix in order, up to the limit") {
  tests::RunningPlatform Platform;
  BlockingClient Client(Platform.Server.local());
  Client.run(StoreTransact{
      1, {put("p/2", "b"), put("p/1", "a"), put("q", "c"), put("p/3", "d")}});
  const auto Rows = Client.get<std::vector<protocol::TableRow>>(
      [&](auto Handler) { Client.Client.scan("t", "p/", 2, Handler); });
  CHECK(std::get<std::vector<protocol::TableRow>>(Rows) ==
        std::vector<protocol::TableRow>{{"p/1", 1, "a"}, {"p/2", 1, "b"}});
}

TEST_CASE("objects are returned unchanged; a missing one is NotFound") {
  tests::RunningPlatform Platform;
  BlockingClient Client(Platform.Server.local());
  const std::string Bytes("\0\x01\xff table", 9);
  Client.get<std::monostate>(
      [&](auto Handler) { Client.Client.putObject("a/b", Bytes, Handler); });
  CHECK(std::get<std::string>(Client.get<std::string>([&](auto Handler) {
          Client.Client.getObject("a/b", Handler);
        })) == Bytes);
  const auto Missing = Client.get<std::string>(
      [&](auto Handler) { Client.Client.getObject("none", Handler); });
  CHECK((std::get<Error>(Missing).Kind == ErrorKind::NotFound));
}

TEST_CASE("the host list shows a leaving worker, and statistics count calls") {
  tests::RunningPlatform Platform;
  const Endpoint To = Platform.Server.local();
  BlockingClient Client(To);
  protocol::HostList Hosts;
  Hosts.Workers.push_back({WorkerId("w1"), ServiceName("s"), RegionName("r"),
                           FailureDomainName("d"), Endpoint{"127.0.0.1", 80},
                           Incarnation{5}, 3, 660, false});
  const auto Send = [&](http::verb Method, const char *Path, std::string Body) {
    return fetchNow(To, makeRequest(Method, To, Path, std::move(Body)),
                    std::chrono::seconds(10));
  };
  CHECK(Send(http::verb::put, "/hosts", protocol::toJson(Hosts)).result() ==
        http::status::ok);
  CHECK(Send(http::verb::post, "/hosts/leaving", R"({"worker":"none"})")
            .result() == http::status::not_found);
  CHECK(
      Send(http::verb::post, "/hosts/leaving", R"({"worker":"w1"})").result() ==
      http::status::ok);
  Hosts.Workers[0].Leaving = true;
  const auto Seen = Client.get<protocol::HostList>(
      [&](auto Handler) { Client.Client.hosts(Handler); });
  CHECK(std::get<protocol::HostList>(Seen) == Hosts);
  Client.run(StoreTransact{1, {put("a", "x")}});
  const auto Stats =
      boost::json::parse(Send(http::verb::get, "/_stats", "").body());
  CHECK(Stats.at("reads").to_number<int>() == 1);
  CHECK(Stats.at("writes").to_number<int>() == 1);
  CHECK(Stats.at("peak_writes_per_second").to_number<int>() == 1);
}

TEST_CASE("the host list lags by hosts_lag_ms") {
  tests::RunningPlatform Platform;
  const Endpoint To = Platform.Server.local();
  const auto Send = [&](http::verb Method, std::string Body) {
    return fetchNow(To, makeRequest(Method, To, "/hosts", std::move(Body)),
                    std::chrono::seconds(10))
        .body();
  };
  const std::string Empty = protocol::toJson(protocol::HostList{});
  protocol::HostList Hosts;
  Hosts.EntryHosts.push_back({HostId("h"), RegionName("r"),
                              FailureDomainName("d"), Incarnation{1},
                              "127.0.0.1", 1, 2, 3, 4});
  setFault(To, R"({"hosts_lag_ms":3600000})");
  Send(http::verb::put, protocol::toJson(Hosts));
  CHECK(Send(http::verb::get, "") == Empty);
  setFault(To, R"({"hosts_lag_ms":0})");
  Send(http::verb::put, protocol::toJson(Hosts));
  CHECK(Send(http::verb::get, "") == protocol::toJson(Hosts));
}

TEST_CASE("the stand-in serves its snapshot while serve_old is set") {
  tests::RunningPlatform Platform;
  const Endpoint To = Platform.Server.local();
  BlockingClient Client(To);
  Client.run(StoreTransact{1, {put("a", "old")}});
  setFault(To, R"({"keep_snapshot":true})");
  Client.run(StoreTransact{2, {put("a", "new")}});
  setFault(To, R"({"serve_old":true})");
  CHECK(std::get<StoreRow>(Client.run(StoreRead{3, "t", "a"})).Value == "old");
  CHECK(std::holds_alternative<StoreConflict>(
      Client.run(StoreTransact{4, {put("a", "newer", 1)}})));
  setFault(To, "{}");
  CHECK(std::get<StoreRow>(Client.run(StoreRead{5, "t", "a"})).Value == "new");
}
