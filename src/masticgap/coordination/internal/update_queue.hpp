#pragma once

#include "masticgap/coordination/gossip_message.hpp"
#include "masticgap/coordination/internal/member_table.hpp"

#include <cstddef>
#include <vector>

namespace masticgap::coordination {

//! Members whose changes are still to be piggybacked, least-sent first.
class UpdateQueue {
public:
  //! Queues a changed record and resets the member's send count.
  void pushRecord(const HostId &Id) { push(Records, Id); }
  //! Queues a changed configuration version.
  void pushVersion(const HostId &Id) { push(Versions, Id); }

  //! Records that another member sent the same record. It counts as a send,
  //! because it shows that the change has spread.
  void recordHeard(const HostId &Id) { heard(Records, Id); }
  void versionHeard(const HostId &Id) { heard(Versions, Id); }

  //! Adds records while the message stays within Budget bytes.
  //! \param Limit number of sends after which an entry is dropped.
  void fillRecords(GossipMessage &Message, std::size_t &Budget,
                   const MemberTable &Table, unsigned Limit);
  void fillVersions(GossipMessage &Message, std::size_t &Budget,
                    const MemberTable &Table, unsigned Limit);

  std::size_t size() const { return Records.size() + Versions.size(); }

private:
  struct Entry {
    HostId Id;
    unsigned Sends = 0;
  };

  static void push(std::vector<Entry> &Entries, const HostId &Id);
  static void heard(std::vector<Entry> &Entries, const HostId &Id);

  std::vector<Entry> Records;
  std::vector<Entry> Versions;
};

} // namespace masticgap::coordination
