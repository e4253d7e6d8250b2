// Shares the cap of a link between two hosts: LinkGrants leases rates through a
// table, LinkBudget spends them. The table is an in-memory map; a real program
// sends the store calls to its table service.

#include "masticgap/coordination/link_budget.hpp"
#include "masticgap/coordination/link_grants.hpp"

#include <chrono>
#include <deque>
#include <iostream>
#include <map>

using namespace masticgap;
using namespace masticgap::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionName Atl("atl");
const RegionName Sav("sav");
constexpr std::uint32_t CapMbit = 4000;

//! In-memory table service with conditional writes and immediate answers.
class LocalTable {
public:
  StoreAnswer call(const StoreRead &Read) const {
    const auto It = Rows.find(Read.Key);
    if (It == Rows.end())
      return StoreRow{Read.CallId, false, 0, ""};
    return StoreRow{Read.CallId, true, It->second.first, It->second.second};
  }
  StoreAnswer call(const StoreTransact &Transact) {
    const StoreOp &Op = Transact.Ops.front();
    auto &[RowVersion, Value] = Rows[Op.Key];
    if (RowVersion != Op.IfVersion)
      return StoreConflict{Transact.CallId, {0}};
    RowVersion = ++Version;
    Value = Op.Value;
    return StoreCommitted{Transact.CallId, Version};
  }

private:
  std::map<std::string, std::pair<std::uint64_t, std::string>> Rows;
  std::uint64_t Version = 0;
};

//! Host that sends as much from atl to sav as its budget allows.
class Host {
public:
  Host(const std::string &Name, std::uint64_t Seed,
       const ConfigDocument &Config)
      : Grants(HostId(Name), makeIncarnation(1, 1), Seed) {
    Budget.apply(Config, Instant());
    Pending.push_back(LinkConfigApplied{Config});
  }

  void step(LocalTable &Table, Instant Now) {
    while (const auto Bytes = Budget.spendUpTo(Atl, Sav, 1U << 20, Now))
      Sent += Bytes;
    if (Now.time_since_epoch() % milliseconds(500) == Duration(0))
      for (const LinkDemand &Demand : Budget.takeDemand(Now))
        Pending.push_back(Demand);
    Pending.push_back(LinkTick{});
    while (!Pending.empty()) {
      const LinkGrantEvent Event = std::move(Pending.front());
      Pending.pop_front();
      for (const LinkGrantAction &Action : Grants.handle(Event, Now))
        std::visit(
            [&](const auto &Alternative) { execute(Alternative, Table, Now); },
            Action);
    }
  }

  std::uint64_t Sent = 0;

private:
  void execute(const LinkGrant &Grant, LocalTable &, Instant Now) {
    Budget.grant(Grant, Now);
  }
  void execute(const LinkCapSeen &Cap, LocalTable &, Instant Now) {
    Budget.apply(Cap, Now);
  }
  template <class Call>
  void execute(const Call &StoreCall, LocalTable &Table, Instant) {
    std::visit([&](auto &&Answer) { Pending.push_back(Answer); },
               Table.call(StoreCall));
  }

  LinkBudget Budget;
  LinkGrants Grants;
  std::deque<LinkGrantEvent> Pending;
};

} // namespace

int main() {
  ConfigDocument Config;
  Config.Version = 1;
  Config.Defaults.MaxEntryHosts = 2;
  Config.Defaults.LinkCaps = {{Atl, Sav, CapMbit}};
  LocalTable Table;
  Host First("first", 1, Config);
  Host Second("second", 2, Config);
  const Instant Start{seconds(1)};
  std::uint64_t TotalBefore = 0;
  for (Instant Now = Start; Now < Start + seconds(20); Now += milliseconds(1)) {
    First.step(Table, Now);
    if (Now >= Start + seconds(10))
      Second.step(Table, Now); // Starts later and still gets its fair share.
    if ((Now - Start) % seconds(5) != seconds(4))
      continue;
    const std::uint64_t Total = First.Sent + Second.Sent;
    std::cout << "after " << (Now - Start) / seconds(1)
              << " s: " << (Total - TotalBefore) * 8 / 1000000
              << " Mbit in the last interval, " << First.Sent * 100 / Total
              << " % of all by the first host\n";
    TotalBefore = Total;
  }
  const auto Cap = static_cast<std::uint64_t>(CapMbit) * 1000000 / 8 * 20;
  return First.Sent + Second.Sent < Cap && Second.Sent > 0 ? 0 : 1;
}
