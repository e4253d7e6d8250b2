#include "entry/lookup_service.hpp"

#include "masticgap/coordination/client_block.hpp"
#include "masticgap/coordination/idempotency_key.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace masticgap::entry {

namespace http = boost::beast::http;
namespace json = boost::json;
using coordination::ClientAddress;
using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;

LookupService::LookupService(std::function<std::string(Instant)> LocalKeyPrefix,
                             std::uint64_t Seed)
    : LocalKeyPrefix(std::move(LocalKeyPrefix)), Random(Seed),
      Snapshot(std::make_shared<SteeringSnapshot>()) {}

std::string LookupService::keyPrefix(const EntryHostDescriptor &Host,
                                     Instant Now) const {
  if (Host.Id == Snapshot->Self.Id)
    return LocalKeyPrefix(Now);
  const auto *Member = Snapshot->liveMember(Host.Id);
  return coordination::formatKeyPrefix(
      {Host.Id, Host.Run, Member ? Member->Epoch : 0});
}

std::string LookupService::body(const ServiceName &Service,
                                const coordination::SteeringTargets &Targets,
                                Instant Now) {
  json::array List;
  for (const auto *Each : Targets) {
    const EntryHostDescriptor &Host = Each->Host;
    List.push_back(json::object{{"host", Host.Id.value()},
                                {"address", Host.Address},
                                {"traffic_port", Host.TrafficPort},
                                {"key_prefix", keyPrefix(Host, Now)}});
  }
  json::object Body;
  Body["service"] = Service.value();
  Body["targets"] = std::move(List);
  Body["ttl_ms"] = Snapshot->Config->Defaults.LookupTtl.count();
  Body["config_version"] = Snapshot->Config->Version;
  return json::serialize(Body);
}

HttpResponse LookupService::handle(const HttpRequest &Request, Instant Now) {
  const auto RawTarget = Request.target();
  const std::string_view Target(RawTarget.data(), RawTarget.size());
  if (Request.method() != http::verb::get ||
      transport::targetPath(Target) != "/lookup")
    return errorResponse(Request, http::status::not_found, "not_found",
                         "request GET /lookup?service=S[&client=IP]");
  if (!Snapshot->Config)
    return errorResponse(Request, http::status::service_unavailable,
                         "unavailable",
                         "this entry host has no configuration yet; ask "
                         "another entry host");
  const ServiceName Service(transport::queryParameter(Target, "service"));
  if (!Snapshot->knowsService(Service))
    return errorResponse(Request, http::status::not_found, "not_found",
                         "service \"" + Service.value() +
                             "\" is unknown; name a configured service");
  const std::string Client = transport::queryParameter(Target, "client");
  // Look-ups without a client address are distributed evenly over the hosts.
  ClientAddress Address;
  for (std::size_t I = 0; I < 4; ++I)
    Address.Bytes[I] = static_cast<std::uint8_t>(Random());
  if (!Client.empty()) {
    const auto Parsed = coordination::parseClientAddress(Client);
    if (!Parsed)
      return errorResponse(Request, http::status::bad_request,
                           "invalid_request",
                           "client \"" + Client + "\" is not an IP number");
    Address = *Parsed;
  }
  const auto Targets = Snapshot->Table.targets(Address, Snapshot->Self.Region);
  if (Targets.empty())
    return errorResponse(Request, http::status::service_unavailable,
                         "unavailable",
                         "no entry host takes callers; ask again later");
  return transport::jsonResponse(Request, http::status::ok,
                                 body(Service, Targets, Now));
}

} // namespace masticgap::entry
