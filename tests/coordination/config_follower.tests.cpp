#include "masticgap/coordination/config_follower.hpp"

#include "config_test_document.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::testDocument;

namespace {

//! Follower whose calls and clock are controlled by the test.
struct Driver {
  ConfigFollower Follower =
      ConfigFollower::Builder(HostId("self"), FailureDomainName("d")).build();
  Instant Now{};
  std::optional<StoreRead> Read;
  std::optional<FetchConfig> Fetch;
  std::vector<Error> Problems;
  unsigned Accepted = 0;

  void send(const ConfigEvent &E) {
    for (const ConfigAction &A : Follower.handle(E, Now)) {
      if (const auto *Call = std::get_if<ReadConfigRow>(&A))
        Read = Call->Call;
      if (const auto *Call = std::get_if<FetchConfig>(&A))
        Fetch = *Call;
      if (const auto *Report = std::get_if<ReportConfigProblem>(&A))
        Problems.push_back(Report->Problem);
      Accepted += std::holds_alternative<AcceptConfig>(A);
    }
  }
  void tick() { send(ConfigTick{}); }
  void row(std::uint64_t RowVersion, const std::string &Json) {
    REQUIRE(Read);
    const StoreRow Row{std::exchange(Read, {})->CallId, true, RowVersion, Json};
    send(ConfigStoreAnswered{Row});
  }
  void loseRead() {
    REQUIRE(Read);
    const std::uint64_t Id = std::exchange(Read, {})->CallId;
    send(ConfigStoreAnswered{StoreLost{Id}});
  }
  void document(const std::string &Json) {
    REQUIRE(Fetch);
    send(ConfigDocumentReceived{std::exchange(Fetch, {})->CallId, Json});
  }
  void failFetch() {
    REQUIRE(Fetch);
    send(ConfigFetchFailed{std::exchange(Fetch, {})->CallId});
  }
  //! Adds a host to the domain that becomes its reader.
  void makeNonReader() {
    for (int I = 0; I < 100; ++I) {
      const HostId Other("other" + std::to_string(I));
      const std::vector<LiveHost> Live = {
          {HostId("self"), FailureDomainName("d")},
          {Other, FailureDomainName("d")}};
      if (chooseConfigReader(Live, FailureDomainName("d")) != Other)
        continue;
      return send(ConfigMembersChanged{Live});
    }
    FAIL("no other host wins the rendezvous hash");
  }
  std::uint64_t version() const {
    return Follower.current() ? Follower.current()->Version : 0;
  }
};

//! Returns a reader that has read the version from the store.
Driver readerWith(std::uint64_t Version) {
  Driver D;
  D.tick();
  D.row(Version, toJson(testDocument(Version)));
  REQUIRE(D.version() == Version);
  return D;
}

} // namespace

TEST_CASE("the version never decreases, and bad documents are reported once") {
  struct Case {
    const char *Name;
    std::string Json;
    std::uint64_t Version;
    const char *Problem; //!< Empty if there is none.
  };
  const std::string Next = toJson(testDocument(6));
  const Case Cases[] = {
      {"newer", Next, 6, ""},
      {"far newer", toJson(testDocument(99)), 99, ""},
      {"same", toJson(testDocument(5)), 5, ""},
      {"older", toJson(testDocument(4)), 5, "older version 4"},
      {"same version of another change", toJson(testDocument(5, "x")), 5,
       "with another change, x"},
      {"half a document", Next.substr(0, Next.size() / 2), 5, "is refused"},
      {"empty", "", 5, "is refused"},
      {"unknown key", R"({"color":1})", 5, "is refused"},
  };
  for (const auto &C : Cases)
    for (const bool FromPeer : {false, true}) {
      CAPTURE(C.Name);
      CAPTURE(FromPeer);
      Driver D = readerWith(5);
      for (int Repeat = 0; Repeat < 2; ++Repeat) {
        D.Now += seconds(10);
        if (FromPeer && D.version() == 5) {
          D.send(PeerConfigVersion{HostId("p"), 7});
          D.document(C.Json);
        } else if (!FromPeer) {
          D.tick();
          D.row(50 + Repeat, C.Json);
        }
      }
      CHECK(D.version() == C.Version);
      REQUIRE(D.Problems.size() == (*C.Problem ? 1 : 0));
      if (*C.Problem)
        CHECK(D.Problems[0].Message.find(C.Problem) != std::string::npos);
    }
}

TEST_CASE("a reader polls twice a second and backs off up to 5 s in outages") {
  Driver D = readerWith(1);
  for (const int Expected : {500, 500}) {
    const auto Wait = D.Follower.nextTick() - D.Now;
    CHECK(Wait >= milliseconds(Expected * 9 / 10));
    CHECK(Wait <= milliseconds(Expected * 11 / 10));
    D.Now = D.Follower.nextTick() - Duration(1);
    D.tick();
    CHECK_FALSE(D.Read);
    D.Now += Duration(1);
    D.tick();
    D.row(1, toJson(testDocument(1)));
  }
  for (const int Expected : {500, 1000, 2000, 4000, 5000, 5000}) {
    D.Now = D.Follower.nextTick();
    D.tick();
    D.loseRead();
    const auto Wait = D.Follower.nextTick() - D.Now;
    CHECK(Wait >= milliseconds(Expected * 9 / 10));
    CHECK(Wait <= milliseconds(Expected * 11 / 10));
    CHECK_FALSE(D.Follower.health(D.Now).StoreReachable);
  }
  D.Now = D.Follower.nextTick();
  D.tick();
  D.row(2, toJson(testDocument(2)));
  CHECK(D.version() == 2);
  CHECK(D.Follower.nextTick() - D.Now <= milliseconds(550));
}

TEST_CASE("a host that is not a reader reads the store only after a notice") {
  Driver D;
  D.makeNonReader();
  D.Read.reset();
  CHECK(D.Follower.nextTick() == Instant::max());
  D.send(ConfigNotified{4});
  D.row(9, toJson(testDocument(4)));
  CHECK(D.version() == 4);
  CHECK(D.Follower.nextTick() == Instant::max());
}

TEST_CASE("a notice during an open read causes another read") {
  Driver D = readerWith(1);
  D.Now = D.Follower.nextTick();
  D.tick();
  D.send(ConfigNotified{2});
  D.row(1, toJson(testDocument(1)));
  D.row(2, toJson(testDocument(2)));
  CHECK(D.version() == 2);
}

TEST_CASE("a notice of a version that never appears stops causing reads") {
  Driver D;
  D.makeNonReader();
  D.Read.reset();
  D.send(ConfigNotified{1000});
  unsigned Reads = 0;
  for (; D.Read && Reads < 100; ++Reads) {
    D.row(9, toJson(testDocument(4)));
    D.Now += seconds(1);
    D.tick();
  }
  CHECK(Reads == 10);
}

TEST_CASE("a host started in an outage gets the configuration from peers") {
  Driver D;
  D.tick();
  D.loseRead();
  CHECK(D.Follower.current() == nullptr);
  D.send(PeerConfigVersion{HostId("p"), 7});
  D.document(toJson(testDocument(7)));
  CHECK(D.version() == 7);
}

TEST_CASE("a failed fetch is retried from another peer, then from the store") {
  Driver D;
  D.makeNonReader();
  D.Read.reset();
  D.send(PeerConfigVersion{HostId("p1"), 7});
  const HostId First = D.Fetch->Peer;
  D.send(PeerConfigVersion{HostId("p2"), 7});
  D.failFetch();
  CHECK_FALSE(D.Fetch);
  D.Now = D.Follower.nextTick();
  D.tick();
  REQUIRE(D.Fetch);
  CHECK(D.Fetch->Peer != First);
  CHECK_FALSE(D.Read);
  D.failFetch();
  D.row(3, toJson(testDocument(7)));
  CHECK(D.version() == 7);
}

TEST_CASE("the peer with the newest version is queried, one fetch at a time") {
  Driver D = readerWith(1);
  D.send(PeerConfigVersion{HostId("self"), 9});
  CHECK_FALSE(D.Fetch);
  D.send(PeerConfigVersion{HostId("p2"), 2});
  REQUIRE(D.Fetch);
  const FetchConfig First = *std::exchange(D.Fetch, {});
  for (const char *Older : {"a", "b", "c", "d", "q", "r", "s", "t"})
    D.send(PeerConfigVersion{HostId(Older), 3});
  D.send(PeerConfigVersion{HostId("p4"), 4});
  CHECK_FALSE(D.Fetch);
  D.send(ConfigFetchFailed{First.CallId + 100}); // Not the call in flight.
  CHECK_FALSE(D.Fetch);
  D.send(ConfigDocumentReceived{First.CallId, toJson(testDocument(2))});
  REQUIRE(D.Fetch);
  CHECK(D.Fetch->Peer == HostId("p4"));
  D.document(toJson(testDocument(4)));
  CHECK(D.version() == 4);
  CHECK(D.Accepted == 3);
}

TEST_CASE("health reports when the host is cut off") {
  Driver D;
  CHECK(D.Follower.health(D.Now).CutOff);
  D = readerWith(5);
  CHECK_FALSE(D.Follower.health(D.Now).CutOff);
  D.Now += seconds(11);
  D.tick();
  D.loseRead();
  CHECK(D.Follower.health(D.Now).CutOff);
  D.send(PeerConfigVersion{HostId("p"), 5});
  CHECK_FALSE(D.Follower.health(D.Now).CutOff);
  D.Now += seconds(11);
  D.tick();
  D.row(6, toJson(testDocument(4))); // An older document does not confirm.
  CHECK(D.Follower.health(D.Now).CutOff);
}

TEST_CASE("peers that all failed are queried again during a store outage") {
  Driver D;
  D.tick();
  D.loseRead();
  D.send(PeerConfigVersion{HostId("p"), 7});
  for (int Failure = 0; Failure < 3; ++Failure) {
    D.failFetch();
    D.Now += seconds(2);
    D.tick();
  }
  D.document(toJson(testDocument(7)));
  CHECK(D.version() == 7);
}
