#pragma once

#include "masticgap/coordination/load_exchange/gatherer_choice.hpp"
#include "masticgap/coordination/load_exchange/load_message.hpp"
#include "masticgap/coordination/member_record.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticgap::coordination {

//! Message to another host.
struct OutgoingLoad {
  HostId To;
  LoadMessage What;
};

//! Exchange of the load of workers between the hosts of a region. Each host
//! sends its reports to the gatherer of its failure domain; the gatherers
//! exchange those of their domains and send those of the region to the hosts of
//! their own domains. Does no I/O; messages may be lost.
class LoadSharing {
public:
  //! Messages that a gatherer sends in one period. In a domain with more hosts
  //! each one gets reports in some of the periods only, so that the cost of a
  //! gatherer does not grow with the number of hosts.
  static constexpr std::size_t MaxMessagesPerPeriod = 32;
  //! Workers whose reports a host holds, as a limit of memory.
  static constexpr std::size_t MaxWorkers = 8192;

  //! \param SizeClass see chooseGatherer(); may be empty.
  LoadSharing(HostId Self, RegionName Region, FailureDomainName Domain,
              SizeClassFunction SizeClass = {});

  //! Sets all members, including this host.
  //! \returns whether the gatherer of this host changed.
  bool setMembers(std::span<const MemberRecord> Members);

  //! Records a report that a worker made to this host.
  void recordOwn(const WorkerLoad &Load);

  //! Handles a message of another host.
  //! \returns the reports that this host can use, or nothing if the message is
  //! not for this host.
  std::optional<std::vector<WorkerLoad>>
  handle(const HostId &From, const LoadMessage &Message, Instant Now);

  //! Returns the messages of one period.
  std::vector<OutgoingLoad> takeMessages(Instant Now);

  //! Returns whether there may be something to send.
  bool hasReports() const { return !Reports.empty(); }
  //! Returns the gatherer of this host's failure domain; empty if there is
  //! none.
  const HostId &gatherer() const { return Gatherer; }
  bool isGatherer() const { return Gatherer == Self; }

private:
  //! Newest report about a worker.
  struct Held {
    PeerReport Report;
    //! Host of the own domain that sent it; empty if a gatherer did.
    HostId From;
    std::uint64_t Sequence = 0; //!< Order of arrival.
  };
  struct Place {
    RegionName Region;
    FailureDomainName Domain;
  };
  struct Recipient {
    HostId Host;
    LoadSource Source = LoadSource::Region;
    std::uint64_t SentSequence = 0; //!< Of the newest report that was sent.
  };

  void hold(const WorkerLoad &Load, const HostId &From);
  void setRecipients(std::span<const MemberRecord> Members);
  void takeOwn(Instant Now, std::vector<OutgoingLoad> &Messages);
  void takeGathered(Instant Now, std::vector<OutgoingLoad> &Messages);
  //! Appends what a recipient has not been sent yet.
  void appendNewer(Recipient &To, std::span<const std::pair<LoadKey, Held>> All,
                   Instant Now, std::vector<OutgoingLoad> &Messages) const;

  HostId Self;
  RegionName Region;
  FailureDomainName Domain;
  SizeClassFunction SizeClass;
  HostId Gatherer;
  std::map<HostId, Place> Places;    //!< Of the live members.
  std::vector<Recipient> Recipients; //!< Only at a gatherer.
  std::size_t NextRecipient = 0;     //!< Served first in the next period.
  std::unordered_map<LoadKey, Held> Reports;
  std::uint64_t LastSequence = 0;
};

} // namespace masticgap::coordination
