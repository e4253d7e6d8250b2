#include "masticgap/state/traffic_config.hpp"

#include <algorithm>
#include <utility>

namespace masticgap {

namespace {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  const auto Lower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return std::ranges::equal(Left, Right, {}, Lower, Lower);
}

const Route *formerRoute(const TrafficConfig &Former, std::string_view Name) {
  const auto Found =
      std::ranges::find_if(Former.Routes, [&](const Route &Candidate) {
        return Candidate.Readable && Candidate.Name == Name;
      });
  return Found == Former.Routes.end() ? nullptr : &*Found;
}

} // namespace

const Route *findRoute(const TrafficConfig &Config, std::string_view HostHeader,
                       std::string_view Path) {
  const std::string_view Host = HostHeader.substr(0, HostHeader.find(':'));
  const Route *Best = nullptr;
  const Route *Fallback = nullptr;
  for (const Route &Candidate : Config.Routes) {
    const bool Longer = !Best || Candidate.Prefix.size() > Best->Prefix.size();
    if (!Longer || !Path.starts_with(Candidate.Prefix))
      continue;
    if (Candidate.HostName.empty())
      Fallback = &Candidate;
    else if (equalIgnoringCase(Candidate.HostName, Host))
      Best = &Candidate;
  }
  return Best ? Best : Fallback;
}

std::string_view toString(ConfigPart Part) {
  switch (Part) {
  case ConfigPart::Route:
    return "route";
  case ConfigPart::Service:
    return "service";
  case ConfigPart::Account:
    return "account";
  case ConfigPart::Accounts:
    return "accounts";
  case ConfigPart::Limits:
    return "limits";
  }
  return "";
}

void keepFormerEntries(TrafficConfig &New, const TrafficConfig &Former) {
  for (Route &Entry : New.Routes)
    if (!Entry.Readable && !Entry.Name.empty())
      if (const Route *Kept = formerRoute(Former, Entry.Name))
        Entry = *Kept;
  std::vector<Account> KeptAccounts;
  for (const UnreadableEntry &Entry : New.Unreadable) {
    switch (Entry.Part) {
    case ConfigPart::Route:
      break;
    case ConfigPart::Service:
      if (const auto Kept = Former.Services.find(ServiceName(Entry.Name));
          Kept != Former.Services.end())
        New.Services[Kept->first] = Kept->second;
      break;
    case ConfigPart::Account:
      if (const Account *Kept =
              Former.Accounts ? Former.Accounts->find(AccountName(Entry.Name))
                              : nullptr)
        KeptAccounts.push_back(*Kept);
      break;
    case ConfigPart::Accounts:
      if (Former.Accounts)
        New.Accounts = Former.Accounts;
      break;
    case ConfigPart::Limits:
      New.Limits = Former.Limits;
      break;
    }
  }
  if (New.Accounts)
    for (Account &Kept : KeptAccounts)
      New.Accounts->add(std::move(Kept));
}

} // namespace masticgap
