#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/steering_table.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/entry_host_descriptor.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <memory>
#include <vector>

namespace masticgap::entry {

//! State of the control thread for use by the other threads. Immutable once it
//! is published.
struct SteeringSnapshot {
  std::shared_ptr<const ConfigDocument> Config; //!< Null until one is received.
  std::vector<WorkerDescriptor> Workers;        //!< From the platform's list.
  std::vector<EntryHostDescriptor> EntryHosts;  //!< From the platform's list.
  std::vector<coordination::MemberRecord>
      Members; //!< From gossip, including this host.
  coordination::SteeringTable Table;
  EntryHostDescriptor Self;
  bool Draining = false;

  //! Returns the live member with that id, or null.
  const coordination::MemberRecord *liveMember(const HostId &Id) const {
    for (const auto &Each : Members)
      if (Each.Host.Id == Id && coordination::isLive(Each))
        return &Each;
    return nullptr;
  }

  //! Returns whether the configuration or a listed worker names the service.
  bool knowsService(const ServiceName &Service) const {
    if (Config && Config->Services.contains(Service))
      return true;
    for (const auto &Each : Workers)
      if (Each.Service == Service)
        return true;
    return false;
  }
};

using SnapshotPtr = std::shared_ptr<const SteeringSnapshot>;

} // namespace masticgap::entry
