#include "timeline/event_filter.hpp"

#include <algorithm>
#include <set>

namespace masticgap::timeline {

namespace {

bool matches(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted == Value;
}

//! Workers and hosts that a request involved, and its time span.
struct RequestScope {
  std::set<WorkerId> Workers;
  std::set<HostId> Hosts;
  std::uint64_t First = UINT64_MAX; //!< Microseconds since 1970.
  std::uint64_t Last = 0;
};

RequestScope findScope(const std::vector<coordination::Event> &Events,
                       const RequestId &Request) {
  RequestScope Scope;
  for (const auto &E : Events) {
    if (E.Fields.Request != Request)
      continue;
    if (!E.Fields.Worker.value().empty())
      Scope.Workers.insert(E.Fields.Worker);
    Scope.Hosts.insert(E.Host);
    Scope.First = std::min(Scope.First, E.Stamp.UnixMicros);
    Scope.Last = std::max(Scope.Last, E.Stamp.UnixMicros);
  }
  return Scope;
}

bool isRelevant(const coordination::Event &E, const RequestScope &Scope) {
  if (Scope.Workers.contains(E.Fields.Worker))
    return E.Kind != coordination::EventKind::RequestAnswered;
  return E.Fields.Request.value().empty() && Scope.Hosts.contains(E.Host);
}

} // namespace

bool accepts(const EventFilter &Filter, const coordination::Event &E) {
  return matches(Filter.Request, E.Fields.Request.value()) &&
         matches(Filter.Worker, E.Fields.Worker.value()) &&
         (matches(Filter.Host, E.Host.value()) ||
          matches(Filter.Host, E.Fields.Subject.value())) &&
         matches(Filter.Change, E.Fields.Change);
}

std::vector<coordination::Event>
mergeEvents(std::vector<coordination::Event> Events,
            const EventFilter &Filter) {
  std::erase_if(Events, [&](const auto &E) { return !accepts(Filter, E); });
  std::ranges::sort(Events, coordination::causallyBefore);
  Events.erase(std::unique(Events.begin(), Events.end()), Events.end());
  return Events;
}

std::vector<coordination::Event>
explainRequest(std::vector<coordination::Event> Events,
               const RequestId &Request, std::chrono::milliseconds Window) {
  const RequestScope Scope = findScope(Events, Request);
  const auto WindowMicros =
      static_cast<std::uint64_t>(std::chrono::microseconds(Window).count());
  std::erase_if(Events, [&](const auto &E) {
    if (E.Fields.Request == Request)
      return false;
    const bool InWindow = E.Stamp.UnixMicros + WindowMicros >= Scope.First &&
                          E.Stamp.UnixMicros <= Scope.Last + WindowMicros;
    return !InWindow || !isRelevant(E, Scope);
  });
  return mergeEvents(std::move(Events), {});
}

} // namespace masticgap::timeline
