#include "timeline/event_filter.hpp"

#include <algorithm>
#include <set>

namespace masticgap::timeline {

namespace {

bool matches(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted == Value;
}

//! What a request touched, and when.
struct Trace {
  std::set<WorkerId> Workers;
  std::set<HostId> Hosts;
  std::uint64_t First = UINT64_MAX; //!< Microseconds since 1970.
  std::uint64_t Last = 0;
};

Trace traceOf(const std::vector<coordination::Event> &Events,
              const RequestId &Request) {
  Trace Found;
  for (const auto &E : Events) {
    if (E.Fields.Request != Request)
      continue;
    if (!E.Fields.Worker.value().empty())
      Found.Workers.insert(E.Fields.Worker);
    Found.Hosts.insert(E.Host);
    Found.First = std::min(Found.First, E.Stamp.UnixMicros);
    Found.Last = std::max(Found.Last, E.Stamp.UnixMicros);
  }
  return Found;
}

bool mayExplain(const coordination::Event &E, const Trace &Of) {
  if (Of.Workers.contains(E.Fields.Worker))
    return E.Kind != coordination::EventKind::RequestAnswered;
  return E.Fields.Request.value().empty() && Of.Hosts.contains(E.Host);
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
  const Trace Of = traceOf(Events, Request);
  const auto Margin =
      static_cast<std::uint64_t>(std::chrono::microseconds(Window).count());
  std::erase_if(Events, [&](const auto &E) {
    if (E.Fields.Request == Request)
      return false;
    const bool Near = E.Stamp.UnixMicros + Margin >= Of.First &&
                      E.Stamp.UnixMicros <= Of.Last + Margin;
    return !Near || !mayExplain(E, Of);
  });
  return mergeEvents(std::move(Events), {});
}

} // namespace masticgap::timeline
