#include "masticgap/state/traffic_config.hpp"

#include <algorithm>

namespace masticgap {

namespace {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  const auto Lower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return std::ranges::equal(Left, Right, {}, Lower, Lower);
}

} // namespace

const Route *findRoute(const TrafficConfig &Config, std::string_view HostHeader,
                       std::string_view Path) {
  const std::string_view Host = HostHeader.substr(0, HostHeader.find(':'));
  const Route *Best = nullptr;
  for (const Route &Candidate : Config.Routes) {
    const bool Longer = !Best || Candidate.Prefix.size() > Best->Prefix.size();
    if (Longer && Path.starts_with(Candidate.Prefix) &&
        equalIgnoringCase(Candidate.HostName, Host))
      Best = &Candidate;
  }
  return Best;
}

} // namespace masticgap
