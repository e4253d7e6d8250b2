#include "masticgap/protocol/gossip_codec.hpp"

#include "masticgap/protocol/internal/gossip_fields.hpp"
#include "masticgap/state/error.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <streambuf>
#include <variant>
#include <xxhash.h>

namespace masticgap::protocol {

namespace leaf = boost::leaf;

using namespace coordination;

// These functions are static instead of in an unnamed namespace, so that
// argument-dependent lookup finds them from GossipWriter::list.

constexpr std::uint8_t StatusMask = 0x0f;
constexpr std::uint8_t DrainingBit = 0x10;
constexpr unsigned SizeClassShift = 5;

static void write(GossipWriter &Out, const EntryHostDescriptor &Host) {
  Out.name(Host.Id);
  Out.name(Host.Region);
  Out.name(Host.Domain);
  Out.text(Host.Address);
  Out.numbers(Host.Run.Value, Host.LookupPort, Host.TrafficPort, Host.AdminPort,
              Host.GossipPort);
}

static void read(GossipReader &In, EntryHostDescriptor &Host) {
  In.name(Host.Id);
  In.name(Host.Region);
  In.name(Host.Domain);
  In.text(Host.Address);
  In.numbers(Host.Run.Value, Host.LookupPort, Host.TrafficPort, Host.AdminPort,
             Host.GossipPort);
  if (Host.Id.empty())
    throw cereal::Exception("a host id is empty");
}

static void write(GossipWriter &Out, const MemberRecord &Record) {
  write(Out, Record.Host);
  const auto Status = static_cast<std::uint8_t>(Record.Status);
  Out.numbers(Record.Revision,
              static_cast<std::uint8_t>(
                  Status | (Record.Draining ? DrainingBit : 0) |
                  std::min(Record.SizeClass, MaxSizeClass) << SizeClassShift),
              Record.ConfigVersion, Record.Epoch);
}

static void read(GossipReader &In, MemberRecord &Record) {
  read(In, Record.Host);
  In.numbers(Record.Revision);
  const std::uint8_t Bits = In.byte(std::numeric_limits<std::uint8_t>::max());
  if ((Bits & StatusMask) > static_cast<std::uint8_t>(MemberStatus::Left))
    throw cereal::Exception("unknown member status");
  Record.Status = static_cast<MemberStatus>(Bits & StatusMask);
  Record.Draining = (Bits & DrainingBit) != 0;
  Record.SizeClass = Bits >> SizeClassShift;
  In.numbers(Record.ConfigVersion, Record.Epoch);
}

static void write(GossipWriter &Out, std::uint64_t Number) {
  Out.numbers(Number);
}
static void read(GossipReader &In, std::uint64_t &Number) {
  In.numbers(Number);
}

static void write(GossipWriter &Out, const VersionHolders &Holders) {
  Out.numbers(Holders.ConfigVersion);
  Out.list(Holders.Members);
}
static void read(GossipReader &In, VersionHolders &Holders) {
  In.numbers(Holders.ConfigVersion);
  In.list(Holders.Members);
}

static void write(GossipWriter &Out, const SyncCursor &Cursor) {
  Out.flag(Cursor.MembersDone);
  Out.name(Cursor.AfterMember);
  Out.numbers(Cursor.AfterRumor);
}

static void read(GossipReader &In, SyncCursor &Cursor) {
  In.flag(Cursor.MembersDone);
  In.name(Cursor.AfterMember);
  In.numbers(Cursor.AfterRumor);
}

static void write(GossipWriter &Out, const WorkerLeaving &R) {
  Out.name(R.Worker);
  Out.numbers(R.Run.Value);
}
static void read(GossipReader &In, WorkerLeaving &R) {
  In.name(R.Worker);
  In.numbers(R.Run.Value);
}

static void write(GossipWriter &Out, const RequestSuspected &R) {
  Out.numbers(R.Request.Value);
  Out.name(R.Worker);
  Out.numbers(R.Run.Value);
}
static void read(GossipReader &In, RequestSuspected &R) {
  In.numbers(R.Request.Value);
  In.name(R.Worker);
  In.numbers(R.Run.Value);
}

static void write(GossipWriter &Out, const RequestQuarantined &R) {
  Out.numbers(R.Request.Value);
}
static void read(GossipReader &In, RequestQuarantined &R) {
  In.numbers(R.Request.Value);
}

static void write(GossipWriter &Out, const RequestCleared &R) {
  Out.numbers(R.Request.Value);
  Out.name(R.Worker);
  Out.numbers(R.Run.Value);
}
static void read(GossipReader &In, RequestCleared &R) {
  In.numbers(R.Request.Value);
  In.name(R.Worker);
  In.numbers(R.Run.Value);
}

static void write(GossipWriter &Out, const ConfigVersionSeen &R) {
  Out.numbers(R.Version);
}
static void read(GossipReader &In, ConfigVersionSeen &R) {
  In.numbers(R.Version);
}

static void write(GossipWriter &Out, const Ping &B) { Out.numbers(B.Sequence); }
static void read(GossipReader &In, Ping &B) { In.numbers(B.Sequence); }

static void write(GossipWriter &Out, const PingRequest &B) {
  Out.numbers(B.Sequence);
  Out.name(B.Target);
  Out.text(B.Address.Address);
  Out.numbers(B.Address.Port);
}
static void read(GossipReader &In, PingRequest &B) {
  In.numbers(B.Sequence);
  In.name(B.Target);
  In.text(B.Address.Address);
  In.numbers(B.Address.Port);
}

static void write(GossipWriter &Out, const Ack &B) {
  Out.numbers(B.Sequence);
  Out.name(B.Target);
  Out.numbers(B.Run.Value);
}
static void read(GossipReader &In, Ack &B) {
  In.numbers(B.Sequence);
  In.name(B.Target);
  In.numbers(B.Run.Value);
}

static void write(GossipWriter &Out, const RumorPush &B) { Out.flag(B.Relay); }
static void read(GossipReader &In, RumorPush &B) { In.flag(B.Relay); }

static void write(GossipWriter &Out, const RumorAck &B) {
  Out.numbers(B.Rumor);
  Out.flag(B.Covered);
}
static void read(GossipReader &In, RumorAck &B) {
  In.numbers(B.Rumor);
  In.flag(B.Covered);
}

static void write(GossipWriter &Out, const SyncRequest &B) {
  write(Out, B.From);
}
static void read(GossipReader &In, SyncRequest &B) { read(In, B.From); }

static void write(GossipWriter &Out, const SyncPage &B) {
  write(Out, B.From);
  write(Out, B.Next);
  Out.flag(B.Last);
}
static void read(GossipReader &In, SyncPage &B) {
  read(In, B.From);
  read(In, B.Next);
  In.flag(B.Last);
}

template <class... Kinds>
static void write(GossipWriter &Out, const std::variant<Kinds...> &Value) {
  Out.numbers(static_cast<std::uint8_t>(Value.index()));
  std::visit([&](const auto &Kind) { write(Out, Kind); }, Value);
}

template <class... Kinds>
static void read(GossipReader &In, std::variant<Kinds...> &Value) {
  static constexpr std::array<void (*)(std::variant<Kinds...> &),
                              sizeof...(Kinds)>
      Makers{[](std::variant<Kinds...> &V) { V = Kinds(); }...};
  Makers[In.byte(sizeof...(Kinds) - 1)](Value);
  std::visit([&](auto &Kind) { read(In, Kind); }, Value);
}

static void write(GossipWriter &Out, const TimedRumor &Item) {
  write(Out, Item.What);
  Out.numbers(Item.RemainingMs);
}

static void read(GossipReader &In, TimedRumor &Item) {
  read(In, Item.What);
  In.numbers(Item.RemainingMs);
}

static void write(GossipWriter &Out, const GossipMessage &Message) {
  write(Out, Message.Sender);
  Out.numbers(Message.Stamp.UnixMicros, Message.Stamp.Logical,
              Message.MembersDigest, Message.RumorsDigest);
  write(Out, Message.Body);
  Out.list(Message.Updates);
  Out.list(Message.Versions);
  Out.list(Message.Rumors);
}

static void read(GossipReader &In, GossipMessage &Message) {
  read(In, Message.Sender);
  In.numbers(Message.Stamp.UnixMicros, Message.Stamp.Logical,
             Message.MembersDigest, Message.RumorsDigest);
  read(In, Message.Body);
  In.list(Message.Updates);
  In.list(Message.Versions);
  In.list(Message.Rumors);
}

namespace {

constexpr std::size_t ChecksumBytes = 4;
constexpr std::size_t HeaderBytes = 1 + ChecksumBytes;

//! Stream buffer that reads from a byte span without copying it.
class ViewBuffer : public std::streambuf {
public:
  explicit ViewBuffer(std::span<const std::byte> Bytes) {
    auto *First =
        reinterpret_cast<char *>(const_cast<std::byte *>(Bytes.data()));
    setg(First, First, First + Bytes.size());
  }
  bool atEnd() const { return gptr() == egptr(); }
};

auto fail(std::string Message, std::string Remedy) {
  return leaf::new_error(
      Error{ErrorKind::Protocol, std::move(Message), std::move(Remedy)});
}

void putChecksum(std::vector<std::byte> &Datagram) {
  const std::uint32_t Sum =
      XXH32(Datagram.data() + HeaderBytes, Datagram.size() - HeaderBytes, 0);
  for (std::size_t I = 0; I < ChecksumBytes; ++I)
    Datagram[1 + I] = static_cast<std::byte>((Sum >> (8 * I)) & 0xff);
}

bool checksumMatches(std::span<const std::byte> Datagram) {
  std::uint32_t Sum = 0;
  for (std::size_t I = 0; I < ChecksumBytes; ++I)
    Sum |= std::to_integer<std::uint32_t>(Datagram[1 + I]) << (8 * I);
  return Sum ==
         XXH32(Datagram.data() + HeaderBytes, Datagram.size() - HeaderBytes, 0);
}

std::string encodeBody(const GossipMessage &Message) {
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    GossipWriter Writer(Archive);
    write(Writer, Message);
  }
  return std::move(Stream).str();
}

GossipMessage decodeBody(std::span<const std::byte> Bytes) {
  ViewBuffer Buffer(Bytes);
  std::istream Stream(&Buffer);
  cereal::PortableBinaryInputArchive Archive(Stream);
  GossipReader Reader(Archive);
  GossipMessage Message;
  read(Reader, Message);
  if (!Buffer.atEnd())
    throw cereal::Exception("bytes follow the message");
  return Message;
}

} // namespace

leaf::result<std::vector<std::byte>>
encodeGossip(const GossipMessage &Message) {
  try {
    const std::string Body = encodeBody(Message);
    if (HeaderBytes + Body.size() > MaxGossipBytes)
      return fail("gossip message has " +
                      std::to_string(HeaderBytes + Body.size()) +
                      " bytes, more than fit in a datagram",
                  "use shorter host, region and domain names");
    std::vector<std::byte> Datagram(HeaderBytes + Body.size());
    Datagram[0] = std::byte{GossipFormatVersion};
    std::ranges::transform(Body, Datagram.begin() + HeaderBytes,
                           [](char C) { return static_cast<std::byte>(C); });
    putChecksum(Datagram);
    return Datagram;
  } catch (const cereal::Exception &Failure) {
    return fail(std::string("gossip message cannot be encoded: ") +
                    Failure.what(),
                "use names of at most 64 bytes");
  }
}

leaf::result<GossipMessage> decodeGossip(std::span<const std::byte> Datagram) {
  static const std::string Remedy =
      "check that only entry hosts send to the gossip port";
  if (Datagram.size() > MaxGossipBytes)
    return fail("datagram of " + std::to_string(Datagram.size()) +
                    " bytes is too long",
                Remedy);
  if (Datagram.size() <= HeaderBytes)
    return fail("datagram is truncated", Remedy);
  if (Datagram[0] != std::byte{GossipFormatVersion})
    return fail("datagram has the unknown format version " +
                    std::to_string(std::to_integer<int>(Datagram[0])),
                "run the same release on all entry hosts");
  if (!checksumMatches(Datagram))
    return fail("datagram is corrupted or truncated", Remedy);
  try {
    return decodeBody(Datagram.subspan(HeaderBytes));
  } catch (const cereal::Exception &Failure) {
    return fail(std::string("datagram is malformed: ") + Failure.what(),
                Remedy);
  }
}

} // namespace masticgap::protocol
