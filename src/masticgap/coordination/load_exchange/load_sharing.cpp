#include "masticgap/coordination/load_exchange/load_sharing.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Appends an entry to the last message for a recipient, or to a new one.
void append(std::vector<OutgoingLoad> &Messages, std::size_t First,
            const HostId &To, LoadSource Source, const LoadEntry &Entry) {
  if (Messages.size() == First ||
      Messages.back().What.Entries.size() == MaxLoadEntries)
    Messages.push_back({To, {Source, {}}});
  Messages.back().What.Entries.push_back(Entry);
}

} // namespace

LoadSharing::LoadSharing(HostId Self, RegionName Region,
                         FailureDomainName Domain, SizeClassFunction SizeClass)
    : Self(std::move(Self)), Region(std::move(Region)),
      Domain(std::move(Domain)), SizeClass(std::move(SizeClass)) {}

bool LoadSharing::setMembers(std::span<const MemberRecord> Members) {
  Places.clear();
  for (const MemberRecord &Member : Members)
    if (isLive(Member))
      Places.emplace(Member.Host.Id,
                     Place{Member.Host.Region, Member.Host.Domain});
  const MemberRecord *Chosen = chooseGatherer(Members, Domain, SizeClass);
  const HostId Before =
      std::exchange(Gatherer, Chosen ? Chosen->Host.Id : HostId());
  setRecipients(Members);
  return Gatherer != Before;
}

void LoadSharing::setRecipients(std::span<const MemberRecord> Members) {
  const std::vector<Recipient> Former = std::exchange(Recipients, {});
  if (!isGatherer())
    return;
  const auto Add = [&](const HostId &Host, LoadSource Source) {
    const auto Known = std::ranges::find_if(Former, [&](const Recipient &Each) {
      return Each.Host == Host && Each.Source == Source;
    });
    Recipients.push_back(
        {Host, Source, Known == Former.end() ? 0 : Known->SentSequence});
  };
  std::set<FailureDomainName> OtherDomains;
  for (const auto &[Host, At] : Places) {
    if (At.Domain == Domain && Host != Self)
      Add(Host, LoadSource::Region);
    else if (At.Domain != Domain && At.Region == Region)
      OtherDomains.insert(At.Domain);
  }
  for (const FailureDomainName &Other : OtherDomains)
    if (const MemberRecord *Chosen = chooseGatherer(Members, Other, SizeClass))
      Add(Chosen->Host.Id, LoadSource::Domain);
}

void LoadSharing::hold(const WorkerLoad &Load, const HostId &From) {
  if (Reports.size() >= MaxWorkers && !Reports.contains(Load.Worker))
    return;
  const auto [ReportIt, IsNew] = Reports.try_emplace(Load.Worker);
  if (!IsNew && ReportIt->second.Report.ReportedAt >= Load.Report.ReportedAt)
    return;
  ReportIt->second = {Load.Report, From, ++LastSequence};
}

void LoadSharing::recordOwn(const WorkerLoad &Load) { hold(Load, Self); }

std::optional<std::vector<WorkerLoad>>
LoadSharing::handle(const HostId &From, const LoadMessage &Message,
                    Instant Now) {
  const auto PlaceIt = Places.find(From);
  if (PlaceIt == Places.end() || From == Self ||
      PlaceIt->second.Region != Region)
    return std::nullopt;
  const bool IsOwnDomain = PlaceIt->second.Domain == Domain;
  if (IsOwnDomain == (Message.Source == LoadSource::Domain))
    return std::nullopt;
  // Reports from the gatherer of this host are not passed on, so that they do
  // not circulate while two hosts gather for the same domain.
  const bool IsGathered = isGatherer() && Message.Source != LoadSource::Region;
  std::vector<WorkerLoad> Usable;
  Usable.reserve(Message.Entries.size());
  for (const LoadEntry &Entry : Message.Entries) {
    Usable.push_back(fromEntry(Entry, Now));
    if (IsGathered)
      hold(Usable.back(), IsOwnDomain ? From : HostId());
  }
  return Usable;
}

std::vector<OutgoingLoad> LoadSharing::takeMessages(Instant Now) {
  std::vector<OutgoingLoad> Messages;
  std::erase_if(Reports, [&](const auto &Entry) {
    return Now - Entry.second.Report.ReportedAt > MaxPeerReportAge;
  });
  if (isGatherer())
    takeGathered(Now, Messages);
  else
    takeOwn(Now, Messages);
  return Messages;
}

void LoadSharing::takeOwn(Instant Now, std::vector<OutgoingLoad> &Messages) {
  if (!Gatherer.empty())
    for (const auto &[Worker, Known] : Reports)
      if (Known.From == Self)
        append(Messages, 0, Gatherer, LoadSource::Host,
               toEntry({Worker, Known.Report}, Now));
  Reports.clear();
}

void LoadSharing::takeGathered(Instant Now,
                               std::vector<OutgoingLoad> &Messages) {
  const std::vector<std::pair<LoadKey, Held>> All(Reports.begin(),
                                                  Reports.end());
  for (std::size_t I = 0; I < Recipients.size(); ++I) {
    if (Messages.size() >= MaxMessagesPerPeriod)
      break;
    NextRecipient %= Recipients.size();
    appendNewer(Recipients[NextRecipient++], All, Now, Messages);
  }
}

void LoadSharing::appendNewer(Recipient &To,
                              std::span<const std::pair<LoadKey, Held>> All,
                              Instant Now,
                              std::vector<OutgoingLoad> &Messages) const {
  const std::size_t First = Messages.size();
  for (const auto &[Worker, Known] : All) {
    if (Known.Sequence <= To.SentSequence)
      continue;
    // A host needs no reports of its own, other gatherers need only those of
    // this domain.
    const bool IsNeeded = To.Source == LoadSource::Domain
                              ? !Known.From.empty()
                              : Known.From != To.Host;
    if (IsNeeded)
      append(Messages, First, To.Host, To.Source,
             toEntry({Worker, Known.Report}, Now));
  }
  To.SentSequence = LastSequence;
}

} // namespace masticgap::coordination
