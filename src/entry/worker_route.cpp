#include "entry/worker_route.hpp"

#include <optional>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;
using transport::AttemptControl;

namespace {

Refusal overloaded(const ServiceName &Service) {
  return {http::status::service_unavailable, "overloaded",
          "all workers of service \"" + Service.value() +
              "\" are busy; send the request again after Retry-After",
          Outcome::NotRun};
}

Refusal noWorkers(const ServiceName &Service) {
  return {http::status::service_unavailable, "no_worker",
          "no worker of service \"" + Service.value() +
              "\" takes work; send the request again after Retry-After",
          Outcome::NotRun};
}

//! Chooses region and worker without waiting.
WorkerChoice tryChoose(TrafficState &State, const CallerRequest &Request,
                       const RouteLimits &Limits) {
  const Instant Now = State.now();
  const PlacementChoice Placed =
      State.RegionPlacement.choose(Request.Service, State.Random, Now);
  const auto *Region = std::get_if<RegionName>(&Placed);
  if (!Region)
    return AllWorkersFull{};
  const ChoiceRequest Criteria{*Region, Limits.Tried, Limits.AvoidedDomain};
  return State.serviceState(Request.Service).Workers.choose(Criteria, Now);
}

} // namespace

asio::awaitable<Route> chooseWorker(TrafficState &State,
                                    const CallerRequest &Request,
                                    const RouteLimits &Limits,
                                    AttemptControl &Control) {
  ServiceState &PerService = State.serviceState(Request.Service);
  const Instant Deadline = Request.Deadline.at();
  std::optional<ServiceState::Ticket> Place;
  // A new request must not overtake waiting requests.
  bool MayTry = PerService.waiting() == 0;
  while (true) {
    Duration RetryAfter{};
    if (MayTry) {
      const WorkerChoice Choice = tryChoose(State, Request, Limits);
      if (const auto *Chosen = std::get_if<WorkerChosen>(&Choice)) {
        PerService.served(Place);
        co_return Chosen->Worker;
      }
      if (std::holds_alternative<NoWorkers>(Choice)) {
        PerService.leave(Place);
        co_return noWorkers(Request.Service);
      }
      RetryAfter = std::get<AllWorkersFull>(Choice).RetryAfter;
    }
    if (!PerService.enqueue(Place, Deadline))
      co_return overloaded(Request.Service);
    MayTry =
        co_await PerService.waitTurn(*Place, Deadline, RetryAfter, Control);
    if (!MayTry) {
      PerService.leave(Place);
      co_return overloaded(Request.Service);
    }
  }
}

} // namespace masticgap::entry
