#include "entry/traffic_documents.hpp"

#include "masticgap/protocol/platform_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <set>
#include <sstream>

namespace masticgap::entry {

namespace json = boost::json;

namespace {

json::array regionsJson(const TrafficState &State) {
  json::array List;
  for (const auto &Each : State.RegionPlacement.weights())
    List.push_back(json::object{{"service", Each.Service.value()},
                                {"region", Each.Region.value()},
                                {"weight", Each.Weight}});
  return List;
}

json::array linksJson(const TrafficState &State) {
  json::array List;
  if (!State.Snapshot->Config)
    return List;
  const Instant Now = State.now();
  for (const LinkCap &Each : State.Snapshot->Config->Defaults.LinkCaps) {
    json::object Link{{"from", Each.From.value()},
                      {"to", Each.To.value()},
                      {"cap_mbit", Each.Mbit}};
    const double Usable = State.Links.usableRate(Each.From, Each.To, Now);
    if (std::isfinite(Usable))
      Link["usable_bytes_per_second"] = Usable;
    List.push_back(std::move(Link));
  }
  return List;
}

json::object serviceJson(const ServiceState &PerService, Instant Now) {
  json::array Workers;
  for (const auto &Each : PerService.Workers.states(Now)) {
    json::object Worker = protocol::toJson(Each.Worker);
    Worker["in_flight"] = Each.InFlight;
    Worker["estimated_use"] = Each.EstimatedUse;
    Worker["ejected"] = Each.Ejected;
    Worker["takes_no_work"] = Each.TakesNoWork;
    Workers.push_back(std::move(Worker));
  }
  return {{"waiting", PerService.waiting()}, {"workers", std::move(Workers)}};
}

} // namespace

std::string describeState(const TrafficState &State) {
  json::object Services;
  for (const auto &[Service, PerService] : State.serviceStates())
    Services[Service.value()] = serviceJson(*PerService, State.now());
  json::object Body;
  Body["config_version"] = State.configVersion();
  Body["regions"] = regionsJson(State);
  Body["links"] = linksJson(State);
  Body["services"] = std::move(Services);
  return json::serialize(Body);
}

std::string describeMetrics(const TrafficState &State) {
  std::ostringstream Out;
  Out << State.Metrics.text() << "# TYPE masticgap_worker_connections gauge\n"
      << "masticgap_worker_connections " << State.Connections.openConnections()
      << "\n# TYPE masticgap_worker_connections_opened_total counter\n"
      << "masticgap_worker_connections_opened_total "
      << State.Connections.connectionsOpened()
      << "\n# TYPE masticgap_idempotency_keys gauge\n"
      << "masticgap_idempotency_keys " << State.AtMostOnce.guard().size()
      << '\n';
  for (const auto &[Service, PerService] : State.serviceStates())
    Out << "masticgap_waiting_requests{service=\"" << Service.value() << "\"} "
        << PerService->waiting() << '\n';
  return Out.str();
}

} // namespace masticgap::entry
