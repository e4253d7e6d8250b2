#include "link_simulation.hpp"

#include <algorithm>
#include <sstream>

namespace masticgap::tests {

namespace {

const std::array<RegionName, 3> Regions{
    RegionName("luzon"), RegionName("visayas"), RegionName("mindanao")};

} // namespace

LinkSimulation::LinkSimulation(std::uint64_t Seed, const Options &O)
    : Settings(O), Random(Seed), Table(Seed + 1), Hosts(O.Hosts) {
  Config.Version = 1;
  Config.Defaults.MaxEntryHosts = O.MaxEntryHosts;
  for (const RegionName &From : Regions)
    for (const RegionName &To : Regions)
      if (From != To) {
        Config.Defaults.LinkCaps.push_back({From, To, CapMbit});
        Caps[{From, To}] = bytesPerSecond(Config.Defaults.LinkCaps.back());
      }
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    Hosts[I].Region = Regions[I % Regions.size()];
    Hosts[I].ClockOffset =
        Duration(std::uniform_int_distribution<Duration::rep>(
            0, Duration(std::chrono::hours(1)).count())(Random));
    Hosts[I].ClockSpeed = 1 + ClockSpread * (2 * draw() - 1);
    start(I);
  }
}

Instant LinkSimulation::local(const Host &H) const {
  const double Passed = static_cast<double>(Now.time_since_epoch().count());
  return Instant(H.ClockOffset +
                 Duration(static_cast<Duration::rep>(Passed * H.ClockSpeed)));
}

void LinkSimulation::start(std::size_t Index) {
  Host &H = Hosts[Index];
  ++H.Generation;
  H.CallerId = NextCallerId++;
  H.Budget = std::make_unique<LinkBudget>();
  H.Grants =
      std::make_unique<LinkGrants>(HostId("host-" + std::to_string(Index)),
                                   Incarnation{H.Generation}, Random());
  H.Answers.clear();
  H.Inbox.clear();
  H.Unsent.reset();
  H.DeadUntil.reset();
  H.PausedUntil.reset();
  H.PauseNext.reset();
  H.Configs.clear();
  H.Budget->apply(Config, local(H));
  actOn(H, H.Grants->handle(LinkConfigApplied{Config}, local(H)));
}

void LinkSimulation::demand(std::size_t Index, const RegionPair &Pair,
                            double Rate) {
  Hosts[Index].Demand[Pair] = Rate;
}

void LinkSimulation::clearDemand() {
  for (Host &H : Hosts)
    H.Demand.clear();
}

void LinkSimulation::pause(std::size_t Index, Duration Time) {
  if (!Hosts[Index].DeadUntil && !Hosts[Index].PausedUntil)
    Hosts[Index].PauseNext = Time;
}

void LinkSimulation::restart(std::size_t Index, Duration After) {
  Host &H = Hosts[Index];
  H.DeadUntil = Now + After;
  // The connections of the host are closed, which cancels outstanding answers.
  H.Answers.clear();
  H.Unsent.reset();
}

void LinkSimulation::changeCap(const RegionPair &Pair, std::uint32_t Mbit) {
  ++Config.Version;
  for (LinkCap &Cap : Config.Defaults.LinkCaps)
    if (Cap.From == Pair.From && Cap.To == Pair.To)
      Cap.Mbit = Mbit;
  EndedCaps[Pair].push_back({Now + LinkLeaseForOthers, Caps[Pair]});
  Caps[Pair] = static_cast<double>(Mbit) * 1e6 / 8;
  for (Host &H : Hosts) {
    const auto Delay = static_cast<Duration::rep>(
        draw() * static_cast<double>(LongestConfigDelay.count()));
    H.Configs.push_back({Now + Duration(Delay), Config});
  }
}

std::vector<RegionPair> LinkSimulation::pairsOf(std::size_t Index) const {
  std::vector<RegionPair> Pairs;
  for (const auto &[Pair, Cap] : Caps)
    if (Pair.From == Hosts[Index].Region || Pair.To == Hosts[Index].Region)
      Pairs.push_back(Pair);
  return Pairs;
}

void LinkSimulation::actOn(Host &H,
                           const std::vector<LinkGrantAction> &Actions) {
  for (const LinkGrantAction &A : Actions) {
    if (const auto *G = std::get_if<LinkGrant>(&A)) {
      LinkGrant Grant = *G;
      if (Settings.IgnoreLeaseEnd)
        Grant.ExpiresAt += std::chrono::hours(1);
      H.Budget->grant(Grant, local(H));
    } else if (const auto *C = std::get_if<LinkCapSeen>(&A)) {
      H.Budget->apply(*C, local(H));
    } else if (const auto *T = std::get_if<StoreTransact>(&A)) {
      Table.call(H.CallerId, *T, Now);
    } else if (const auto *R = std::get_if<StoreRead>(&A)) {
      Table.call(H.CallerId, *R, Now);
    }
  }
}

void LinkSimulation::control(Host &H) {
  const Instant Local = local(H);
  while (!H.Configs.empty() && H.Configs.front().first <= Now) {
    H.Budget->apply(H.Configs.front().second, Local);
    actOn(H,
          H.Grants->handle(LinkConfigApplied{H.Configs.front().second}, Local));
    H.Configs.erase(H.Configs.begin());
  }
  for (const StoreAnswer &Answer : std::exchange(H.Inbox, {}))
    actOn(H,
          std::visit(
              [&](const auto &Event) { return H.Grants->handle(Event, Local); },
              Answer));
  if (Now >= H.NextDemand) {
    H.NextDemand = Now + milliseconds(200);
    for (const LinkDemand &D : H.Budget->takeDemand(Local))
      actOn(H, H.Grants->handle(D, Local));
  }
  if (const auto Next = H.Grants->nextTick(); Next && *Next <= Local)
    actOn(H, H.Grants->handle(LinkTick{}, Local));
}

void LinkSimulation::traffic(Host &H) {
  receiveAnswers(H);
  for (const auto &[Pair, Rate] : H.Demand)
    if (Rate > 0 && !H.PausedUntil)
      sendRequests(H, Pair, Rate);
  if (H.PauseNext)
    H.PausedUntil = Now + *std::exchange(H.PauseNext, std::nullopt);
}

void LinkSimulation::sendRequests(Host &H, const RegionPair &Pair,
                                  double Rate) {
  const double Seconds = std::chrono::duration<double>(StepLength).count();
  double &Backlog = H.Backlog[Pair];
  Backlog = std::min(Backlog + Rate * Seconds, Rate * 4 * Seconds);
  if (draw() < 0.1)
    reserveAnswers(H, Pair);
  while (Backlog >= 1) {
    const std::uint64_t Bytes = H.Budget->spendUpTo(
        Pair.From, Pair.To, static_cast<std::uint64_t>(Backlog), local(H));
    if (Bytes == 0)
      return;
    Backlog -= static_cast<double>(Bytes);
    // A pause that starts here delays bytes that are already spent.
    if (H.PauseNext) {
      H.Unsent = std::pair(Pair, Bytes);
      H.PausedUntil = Now + *std::exchange(H.PauseNext, std::nullopt);
      return;
    }
    Links[Pair].carry(Bytes, Now);
  }
}

void LinkSimulation::reserveAnswers(Host &H, const RegionPair &Pair) {
  const RegionPair Reverse = Pair.reversed();
  const double Most =
      1000 + H.Budget->usableRate(Reverse.From, Reverse.To, local(H)) / 2000;
  for (int I = 0; I < 8; ++I) {
    const auto Bytes = static_cast<std::uint64_t>(draw() * Most);
    const auto R = H.Budget->reserveAnswer(Pair.From, Pair.To, Bytes, local(H));
    if (!R)
      return;
    const auto Used = static_cast<std::uint64_t>(draw() * 1.2 * Most);
    // Many answers arrive at the same time, as after a stall of their worker.
    const auto Arrival = std::chrono::ceil<std::chrono::seconds>(Now);
    const auto Delay = milliseconds(static_cast<int>(draw() * 400) * 5);
    H.Answers.push_back({*R, Used, draw() < 0.5 ? Arrival : Now + Delay});
  }
}

void LinkSimulation::receiveAnswers(Host &H) {
  std::erase_if(H.Answers, [&](const Answer &A) {
    if (!A.Arrived)
      return false;
    const RegionPair &P = A.Reservation.Pair;
    const std::uint64_t Rest =
        H.Budget->settle(A.Reservation, A.Used, local(H));
    Links[P].carry(H.Budget->spendUpTo(P.From, P.To, Rest, local(H)), Now);
    return true;
  });
}

void LinkSimulation::step() {
  Now += StepLength;
  ++Steps;
  for (const FakeTable::Delivery &D : Table.run(Now))
    for (Host &H : Hosts)
      if (H.CallerId == D.Caller && !H.DeadUntil)
        H.Inbox.push_back(D.Answer);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    Host &H = Hosts[I];
    if (H.DeadUntil && *H.DeadUntil <= Now)
      start(I);
    if (H.DeadUntil)
      continue;
    // Upstreams answer even while the host is paused.
    for (Answer &A : H.Answers)
      if (!A.Arrived && A.ArrivesAt <= Now) {
        A.Arrived = true;
        Links[A.Reservation.Pair].carry(std::min(A.Used, A.Reservation.Bytes),
                                        Now);
      }
    if (H.PausedUntil && *H.PausedUntil > Now)
      continue;
    if (H.PausedUntil && H.Unsent)
      Links[H.Unsent->first].carry(H.Unsent->second, Now);
    H.Unsent.reset();
    H.PausedUntil.reset();
    const bool TrafficFirst = draw() < 0.5;
    if (TrafficFirst)
      traffic(H);
    if (!H.PausedUntil)
      control(H);
    if (!TrafficFirst)
      traffic(H);
  }
  check();
}

void LinkSimulation::run(Duration Time) {
  for (const Instant End = Now + Time; Now < End;)
    step();
}

void LinkSimulation::check() {
  for (auto &[Pair, Cap] : Caps) {
    double InForce = Cap;
    auto &Ended = EndedCaps[Pair];
    std::erase_if(Ended, [&](const auto &E) { return E.first < Now; });
    for (const auto &[Until, Old] : Ended)
      InForce = std::max(InForce, Old);
    const double Allowed = InForce * (1 - LinkControlShare) * (1 + ClockSpread);
    const double PerWindow = Allowed * 0.1;
    const auto Carried = static_cast<double>(Links[Pair].window(Now));
    double UsableRates = 0;
    if (Steps % 8 == 0)
      for (const Host &H : Hosts)
        if (!H.DeadUntil)
          UsableRates += H.Budget->usableRate(Pair.From, Pair.To, local(H));
    if ((Carried <= PerWindow && UsableRates <= Allowed) || !Violation.empty())
      continue;
    std::ostringstream Text;
    Text << "step " << Steps << ": " << Pair.From << ">" << Pair.To
         << " carried " << Carried << " bytes in 100 ms of " << PerWindow
         << " allowed; sum of usable rates " << UsableRates << " of "
         << Allowed;
    Violation = Text.str();
  }
}

} // namespace masticgap::tests
