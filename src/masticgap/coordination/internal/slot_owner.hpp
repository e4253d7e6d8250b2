#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <span>

namespace masticgap::coordination::internal {

//! Returns the number of \p Worker's slots that rendezvous hashing assigns to
//! \p Self among \p LiveHosts. Each slot has one owner, and a host that joins
//! or leaves changes only the owner of its own slots.
unsigned ownedSlots(const WorkerDescriptor &Worker, const HostId &Self,
                    std::span<const HostId> LiveHosts);

} // namespace masticgap::coordination::internal
