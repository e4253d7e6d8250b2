#include "masticgap/state/internal/config_json.hpp"

#include "masticgap/state/exception_kind.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace masticgap {

namespace json = boost::json;

json::object toJsonObject(const ConfigDefaults &D) {
  json::object SpillOrder;
  for (const auto &[From, Order] : D.SpillOrder) {
    json::array List;
    for (const RegionName &To : Order)
      List.emplace_back(To.value());
    SpillOrder[From.value()] = std::move(List);
  }
  json::array LinkCaps;
  for (const LinkCap &Cap : D.LinkCaps)
    LinkCaps.push_back(json::object{{"from", Cap.From.value()},
                                    {"to", Cap.To.value()},
                                    {"mbit", Cap.Mbit}});
  return {{"max_shift_per_second", D.MaxShiftPerSecond},
          {"max_shift", D.MaxShift},
          {"target_utilization", D.TargetUtilization},
          {"retry_share", D.RetryShare},
          {"request_timeout_ms", D.RequestTimeout.count()},
          {"lookup_ttl_ms", D.LookupTtl.count()},
          {"max_entry_hosts", D.MaxEntryHosts},
          {"spill_order", std::move(SpillOrder)},
          {"link_caps", std::move(LinkCaps)}};
}

json::object toJsonObject(const ServiceConfig &S) {
  json::array Methods;
  for (const std::string &Method : S.RepeatableMethods)
    Methods.emplace_back(Method);
  json::object Out{{"repeatable_methods", std::move(Methods)}};
  if (S.RequestTimeout)
    Out["request_timeout_ms"] = S.RequestTimeout->count();
  return Out;
}

json::object toJsonObject(const ConfigException &E) {
  json::object Out{
      {"id", E.Id}, {"kind", toString(E.Kind)}, {"subject", E.Subject}};
  if (E.Service)
    Out["service"] = E.Service->value();
  if (E.Value)
    Out["value"] = *E.Value;
  Out["reason"] = E.Reason;
  Out["operator"] = E.Operator;
  if (E.ExpiresUnixMs)
    Out["expires_unix_ms"] = *E.ExpiresUnixMs;
  return Out;
}

json::object toJsonObject(const ConfigDocument &D) {
  json::object Services;
  for (const auto &[Name, Service] : D.Services)
    Services[Name.value()] = toJsonObject(Service);
  json::array Exceptions;
  for (const ConfigException &E : D.Exceptions)
    Exceptions.push_back(toJsonObject(E));
  return {{"version", D.Version},
          {"base_version", D.BaseVersion},
          {"change_id", D.ChangeId},
          {"operator", D.Operator},
          {"reason", D.Reason},
          {"defaults", toJsonObject(D.Defaults)},
          {"services", std::move(Services)},
          {"exceptions", std::move(Exceptions)}};
}

std::string toJson(const ConfigDocument &Document) {
  return json::serialize(toJsonObject(Document));
}

} // namespace masticgap
