#include "standins/common/network_map.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace masticgap::standins {

namespace {

Duration milliseconds(const boost::json::value &Value) {
  return Duration(static_cast<std::int64_t>(Value.to_number<double>() * 1e6));
}

} // namespace

NetworkMap NetworkMap::load(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    throw std::runtime_error("cannot read the network map " + File);
  std::stringstream Text;
  Text << Input.rdbuf();
  const auto Json = boost::json::parse(Text.str());
  NetworkMap Map;
  for (const auto &Item : Json.at("places").as_array())
    Map.Places.push_back(
        {boost::json::value_to<std::string>(Item.at("prefix")),
         RegionName(boost::json::value_to<std::string>(Item.at("region"))),
         FailureDomainName(
             boost::json::value_to<std::string>(Item.at("domain")))});
  const auto &OneWay = Json.at("one_way_ms");
  Map.BetweenDomains = milliseconds(OneWay.at("domain"));
  Map.BetweenRegions = milliseconds(OneWay.at("region"));
  Map.ToCallers = milliseconds(OneWay.at("caller"));
  return Map;
}

const Place *NetworkMap::find(std::string_view Address) const {
  for (const Place &Candidate : Places)
    if (Address.starts_with(Candidate.Prefix))
      return &Candidate;
  return nullptr;
}

Duration NetworkMap::roundTrip(const Place &From, const Place &To) const {
  const bool IsCaller = From.Domain.empty() || To.Domain.empty();
  if (From.Region != To.Region)
    return 2 * (BetweenRegions + (IsCaller ? ToCallers : Duration{}));
  if (IsCaller)
    return 2 * ToCallers;
  return From.Domain == To.Domain ? Duration{} : 2 * BetweenDomains;
}

} // namespace masticgap::standins
