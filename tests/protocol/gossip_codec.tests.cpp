#include "masticgap/protocol/gossip_codec.hpp"

#include "masticgap/coordination/gossip_size.hpp"
#include "masticgap/state/error.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <xxhash.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::protocol;

namespace {

using Bytes = std::vector<std::byte>;

MemberRecord record(const std::string &Id, MemberStatus Status) {
  return {{HostId(Id), RegionName("luzon"), FailureDomainName("luz-a"),
           Incarnation{0x1122334455667788}, "10.1.2.3", 7000, 7001, 7002, 7003},
          5,
          Status,
          Status == MemberStatus::Suspect,
          42,
          17};
}

GossipMessage message(GossipBody Body) {
  GossipMessage M;
  M.Sender = record("entry-1", MemberStatus::Alive);
  M.Stamp = {1700000000123456, 9};
  M.MembersDigest = 0xaabbccddeeff0011;
  M.RumorsDigest = 3;
  M.Body = std::move(Body);
  M.Updates = {record("entry-2", MemberStatus::Suspect),
               record("entry-3", MemberStatus::Left)};
  M.Versions = {{43, {0x1111, 0x2222}}, {42, {0x3333}}};
  M.Rumors = {{WorkerLeaving{WorkerId("agenda-1"), Incarnation{6}}, 599999},
              {RequestSuspected{{77}, WorkerId("sahod-2"), Incarnation{7}}, 10},
              {RequestQuarantined{{78}}, 20},
              {ConfigVersionSeen{44}, 30}};
  return M;
}

struct Case {
  std::string Name;
  GossipBody Body;
};

const Case Cases[] = {
    {"ping", Ping{11}},
    {"ping_request",
     PingRequest{12, HostId("entry-5"), Endpoint{"10.1.2.4", 7003}}},
    {"ack", Ack{13, HostId("entry-5"), Incarnation{99}}},
    {"rumor_push", RumorPush{true}},
    {"rumor_ack", RumorAck{0x0102030405060708, true}},
    {"sync_request", SyncRequest{{false, HostId("entry-7"), 0}}},
    {"sync_page", SyncPage{{false, HostId("entry-7"), 0},
                           {true, HostId("entry-9"), 6},
                           true}},
};

Bytes encode(const GossipMessage &M) {
  return boost::leaf::try_handle_all([&] { return encodeGossip(M); },
                                     [] { return Bytes(); });
}

GossipMessage decode(std::span<const std::byte> Datagram) {
  return boost::leaf::try_handle_all([&] { return decodeGossip(Datagram); },
                                     [] { return GossipMessage(); });
}

std::string decodeError(std::span<const std::byte> Datagram) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(decodeGossip(Datagram));
        return std::string();
      },
      [](const Error &E) { return E.Message; },
      [] { return std::string("not typed"); });
}

//! Recomputes the checksum, so that the checks after it are reached.
void repairChecksum(Bytes &Datagram) {
  const auto Sum = XXH32(Datagram.data() + 5, Datagram.size() - 5, 0);
  for (std::size_t I = 0; I < 4; ++I)
    Datagram[1 + I] = static_cast<std::byte>(Sum >> (8 * I));
}

} // namespace

TEST_CASE("messages are encoded as in the golden files and round-trip") {
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const GossipMessage M = message(C.Body);
    const Bytes Datagram = encode(M);
    CHECK(Datagram.size() == encodedSize(M));
    const std::string Path =
        std::string(MASTICGAP_GOLDEN_DIR) + "/gossip_" + C.Name + ".bin";
    if (std::getenv("MASTICGAP_WRITE_GOLDEN"))
      std::ofstream(Path, std::ios::binary)
          .write(reinterpret_cast<const char *>(Datagram.data()),
                 static_cast<std::streamsize>(Datagram.size()));
    std::ifstream File(Path, std::ios::binary);
    const std::string Golden{std::istreambuf_iterator<char>(File), {}};
    CHECK(Golden == std::string(reinterpret_cast<const char *>(Datagram.data()),
                                Datagram.size()));
    CHECK(decode(Datagram) == M);
  }
}

// Guards against a size class that changes the status or the draining flag.
TEST_CASE("the size class of a member round-trips") {
  for (unsigned Class = 0; Class <= MaxSizeClass; ++Class) {
    GossipMessage M = message(Ping{11});
    for (MemberRecord &Record : M.Updates)
      Record.SizeClass = static_cast<std::uint8_t>(Class);
    const Bytes Datagram = encode(M);
    CHECK(Datagram.size() == encodedSize(M));
    CHECK(decode(Datagram) == M);
  }
}

TEST_CASE("a rumor that clears a request round-trips") {
  GossipMessage M = message(Ping{11});
  M.Rumors = {{RequestCleared{{77}, WorkerId("sahod-2"), Incarnation{7}}, 10}};
  const Bytes Datagram = encode(M);
  CHECK(Datagram.size() == encodedSize(M));
  CHECK(decode(Datagram) == M);
}

TEST_CASE("each truncated or lengthened datagram is rejected") {
  for (const Case &C : Cases) {
    const Bytes Complete = encode(message(C.Body));
    for (std::size_t Length = 0; Length < Complete.size(); ++Length) {
      CAPTURE(Length);
      Bytes Part(Complete.begin(),
                 Complete.begin() + static_cast<long>(Length));
      CHECK_FALSE(decodeError(Part).empty());
      if (Length <= 5)
        continue;
      repairChecksum(Part);
      CHECK(decodeError(Part).starts_with("datagram is malformed"));
    }
    Bytes Longer = Complete;
    Longer.push_back({});
    repairChecksum(Longer);
    CHECK(decodeError(Longer) ==
          "datagram is malformed: bytes follow the message");
  }
}

TEST_CASE("each datagram with one corrupted bit is rejected") {
  const Bytes Complete = encode(message(Ping{11}));
  for (std::size_t Bit = 0; Bit < Complete.size() * 8; ++Bit) {
    Bytes Corrupted = Complete;
    Corrupted[Bit / 8] ^= static_cast<std::byte>(1 << (Bit % 8));
    CAPTURE(Bit);
    CHECK_FALSE(decodeError(Corrupted).empty());
  }
}

TEST_CASE("oversized datagrams and unknown versions are rejected") {
  CHECK(decodeError(Bytes(MaxGossipBytes + 1)) ==
        "datagram of 1201 bytes is too long");
  Bytes Next = encode(message(Ping{11}));
  Next[0] = std::byte{2};
  CHECK(decodeError(Next) == "datagram has the unknown format version 2");
}

TEST_CASE("random bytes after a valid checksum never crash the decoder") {
  std::mt19937_64 Random(1);
  const Bytes Complete = encode(message(Cases[1].Body));
  for (unsigned Round = 0; Round < 20'000; ++Round) {
    Bytes Changed = Complete;
    for (unsigned I = 0; I < 1 + Round % 5; ++I)
      Changed[5 + Random() % (Changed.size() - 5)] =
          static_cast<std::byte>(Random());
    repairChecksum(Changed);
    const std::string Message = decodeError(Changed);
    CHECK((Message.empty() || Message.starts_with("datagram is malformed")));
  }
}

TEST_CASE("names and messages that are too long are not encoded") {
  GossipMessage LongName = message(Ping{1});
  LongName.Sender.Host.Id = HostId(std::string(MaxGossipNameBytes + 1, 'x'));
  CHECK(encode(LongName).empty());
  GossipMessage ManyUpdates = message(Ping{1});
  ManyUpdates.Updates.resize(20, record("entry-2", MemberStatus::Alive));
  CHECK(encode(ManyUpdates).empty());
}
