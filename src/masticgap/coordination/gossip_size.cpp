#include "masticgap/coordination/gossip_size.hpp"

namespace masticgap::coordination {

namespace {

//! Version byte, checksum and cereal's byte order byte.
constexpr std::size_t FrameBytes = 1 + 4 + 1;
constexpr std::size_t StampBytes = 8 + 4;
constexpr std::size_t DigestBytes = 8 + 8;
constexpr std::size_t BodyKindBytes = 1;
//! One length byte for each of the three lists.
constexpr std::size_t CountBytes = 3;
constexpr std::size_t PortBytes = 2;
constexpr std::size_t RunBytes = 8;

template <class Tag> std::size_t sizeOf(const Name<Tag> &N) {
  return 1 + N.value().size();
}

std::size_t sizeOf(const SyncCursor &Cursor) {
  return 1 + sizeOf(Cursor.AfterMember) + 8;
}

struct BodySize {
  std::size_t operator()(const Ping &) const { return 4; }
  std::size_t operator()(const PingRequest &B) const {
    return 4 + sizeOf(B.Target) + 1 + B.Address.Address.size() + PortBytes;
  }
  std::size_t operator()(const Ack &B) const {
    return 4 + sizeOf(B.Target) + RunBytes;
  }
  std::size_t operator()(const RumorPush &) const { return 1; }
  std::size_t operator()(const RumorAck &) const { return 8 + 1; }
  std::size_t operator()(const SyncRequest &B) const { return sizeOf(B.From); }
  std::size_t operator()(const SyncPage &B) const {
    return sizeOf(B.From) + sizeOf(B.Next) + 1;
  }
};

struct RumorSize {
  std::size_t operator()(const WorkerLeaving &R) const {
    return sizeOf(R.Worker) + RunBytes;
  }
  std::size_t operator()(const RequestSuspected &R) const {
    return 8 + sizeOf(R.Worker) + RunBytes;
  }
  std::size_t operator()(const RequestCleared &R) const {
    return 8 + sizeOf(R.Worker) + RunBytes;
  }
  std::size_t operator()(const RequestQuarantined &) const { return 8; }
  std::size_t operator()(const ConfigVersionSeen &) const { return 8; }
};

struct NameFits {
  bool operator()(const WorkerLeaving &R) const { return fits(R.Worker); }
  bool operator()(const RequestSuspected &R) const { return fits(R.Worker); }
  bool operator()(const RequestCleared &R) const { return fits(R.Worker); }
  bool operator()(const RequestQuarantined &) const { return true; }
  bool operator()(const ConfigVersionSeen &) const { return true; }
  static bool fits(const WorkerId &Id) {
    return Id.value().size() <= MaxGossipNameBytes;
  }
};

} // namespace

std::size_t encodedSize(const MemberRecord &Record) {
  const EntryHostDescriptor &H = Record.Host;
  constexpr std::size_t RevisionBytes = 4;
  constexpr std::size_t StatusBytes = 1;
  constexpr std::size_t ProgressBytes = 8 + 8;
  return sizeOf(H.Id) + sizeOf(H.Region) + sizeOf(H.Domain) + 1 +
         H.Address.size() + RunBytes + 4 * PortBytes + RevisionBytes +
         StatusBytes + ProgressBytes;
}

std::size_t encodedSize(const VersionHolders &Holders) {
  constexpr std::size_t KeyBytes = 8;
  return 8 + 1 + Holders.Members.size() * KeyBytes;
}

std::size_t encodedSize(const TimedRumor &Item) {
  constexpr std::size_t KindBytes = 1;
  constexpr std::size_t RemainingBytes = 4;
  return KindBytes + std::visit(RumorSize(), Item.What) + RemainingBytes;
}

std::size_t encodedSize(const GossipMessage &Message) {
  std::size_t Size = FrameBytes + encodedSize(Message.Sender) + StampBytes +
                     DigestBytes + BodyKindBytes +
                     std::visit(BodySize(), Message.Body) + CountBytes;
  for (const auto &Update : Message.Updates)
    Size += encodedSize(Update);
  for (const auto &Holders : Message.Versions)
    Size += encodedSize(Holders);
  for (const auto &Item : Message.Rumors)
    Size += encodedSize(Item);
  return Size;
}

bool fitsGossip(const Rumor &What) { return std::visit(NameFits(), What); }

} // namespace masticgap::coordination
