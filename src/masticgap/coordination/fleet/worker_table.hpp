#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticgap::coordination {

//! State of one worker as known to this host.
struct KnownWorker {
  WorkerDescriptor Worker;
  Instant StartedAt; //!< When this incarnation started.
  Instant ColdUntil; //!< Until then the worker tolerates few requests.
  //! Set while the registration is lapsed; the worker is used until then.
  std::optional<Instant> LapsedUntil;
};

//! Workers of one service, by id.
struct ServiceWorkers {
  std::span<const KnownWorker *const> Workers;
  //! Changes when a worker is added or removed. The pointers are valid until
  //! then; the workers' states may change.
  std::uint64_t Revision = 0;
};

//! Workers by id, with an index by service. Has the functions of std::map that
//! the directory needs; entries change their service only through assign().
class WorkerTable {
public:
  using Map = std::map<WorkerId, KnownWorker>;

  Map::iterator begin() { return Entries.begin(); }
  Map::iterator end() { return Entries.end(); }
  Map::const_iterator begin() const { return Entries.begin(); }
  Map::const_iterator end() const { return Entries.end(); }
  Map::iterator find(const WorkerId &Id) { return Entries.find(Id); }
  Map::const_iterator find(const WorkerId &Id) const {
    return Entries.find(Id);
  }
  std::size_t size() const { return Entries.size(); }
  const Map &entries() const { return Entries; }

  //! Adds a worker or replaces its state.
  void assign(const WorkerId &Id, KnownWorker State) {
    const auto [EntryIt, IsNew] = Entries.try_emplace(Id);
    KnownWorker &Entry = EntryIt->second;
    const bool Moves = !IsNew && Entry.Worker.Service != State.Worker.Service;
    if (Moves)
      removeFromIndex(Entry);
    Entry = std::move(State);
    Entry.Worker.Id = Id;
    if (IsNew || Moves)
      addToIndex(Entry);
  }

  Map::iterator erase(Map::const_iterator EntryIt) {
    removeFromIndex(EntryIt->second);
    return Entries.erase(EntryIt);
  }

  std::size_t erase(const WorkerId &Id) {
    const auto EntryIt = Entries.find(Id);
    if (EntryIt == Entries.end())
      return 0;
    erase(EntryIt);
    return 1;
  }

  //! Removes the workers for which the predicate holds.
  template <class Predicate> void eraseIf(Predicate &&IsRemoved) {
    for (auto EntryIt = Entries.begin(); EntryIt != Entries.end();) {
      if (IsRemoved(std::as_const(*EntryIt)))
        EntryIt = erase(EntryIt);
      else
        ++EntryIt;
    }
  }

  //! Returns the workers of a service without a scan of the others.
  ServiceWorkers ofService(const ServiceName &Service) const {
    const auto GroupIt = Groups.find(Service);
    if (GroupIt == Groups.end())
      return {};
    return {GroupIt->second.Workers, GroupIt->second.Revision};
  }

  //! Changes when a worker of any service is added or removed.
  std::uint64_t revision() const { return LastRevision; }

private:
  struct Group {
    std::vector<const KnownWorker *> Workers; //!< By id.
    std::uint64_t Revision = 0;
  };

  static auto position(Group &Of, const KnownWorker &Entry) {
    return std::ranges::lower_bound(
        Of.Workers, Entry.Worker.Id, {},
        [](const KnownWorker *Each) -> const WorkerId & {
          return Each->Worker.Id;
        });
  }
  void addToIndex(const KnownWorker &Entry) {
    Group &Of = Groups[Entry.Worker.Service];
    Of.Workers.insert(position(Of, Entry), &Entry);
    Of.Revision = ++LastRevision;
  }
  void removeFromIndex(const KnownWorker &Entry) {
    const auto GroupIt = Groups.find(Entry.Worker.Service);
    Group &Of = GroupIt->second;
    Of.Workers.erase(position(Of, Entry));
    Of.Revision = ++LastRevision;
    if (Of.Workers.empty())
      Groups.erase(GroupIt);
  }

  Map Entries;
  std::unordered_map<ServiceName, Group> Groups;
  std::uint64_t LastRevision = 0;
};

} // namespace masticgap::coordination
