#include "masticgap/state/config_document.hpp"

#include "masticgap/state/config_keys.hpp"
#include "masticgap/state/config_limits.hpp"
#include "masticgap/state/exception_kind.hpp"
#include "masticgap/state/json_reader.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace masticgap {

namespace json = boost::json;

namespace {

constexpr auto Optional = ObjectReader::Optional;
constexpr std::array<std::string_view, 4> RepeatableMethods = {
    "PUT", "POST", "PATCH", "DELETE"};

void readMilliseconds(ObjectReader &Reader, std::string_view Key,
                      std::chrono::milliseconds &Out, std::uint64_t Min,
                      std::uint64_t Max) {
  std::uint64_t Count = 0;
  if (Reader.integer(Key, Count, Min, Max, Optional))
    Out = std::chrono::milliseconds(Count);
}

//! Returns the key of a member and checks that it is a valid name, for example
//! of a service.
std::string nameOfMember(const json::key_value_pair &Member,
                         const std::string &Path, JsonErrors &Errors) {
  std::string Text(Member.key().data(), Member.key().size());
  if (!isName(Text))
    Errors.add(Path + " has the member \"" + Text + "\"",
               "accepted: " + std::string(AcceptedName));
  return Text;
}

//! Reads a list of strings and checks that they are unique and pass
//! \p IsAccepted.
template <class Predicate>
std::vector<std::string>
readTexts(const json::array &List, const std::string &Path,
          std::string_view Accepted, Predicate IsAccepted, JsonErrors &Errors) {
  std::vector<std::string> Out;
  for (std::size_t I = 0; I < List.size(); ++I) {
    const std::string At = Path + "[" + std::to_string(I) + "]";
    const json::string *Text = List[I].if_string();
    std::string Word = Text ? std::string(Text->data(), Text->size()) : "";
    if (!Text || !IsAccepted(Word))
      Errors.wrongValue(At, List[I], Accepted);
    else if (std::find(Out.begin(), Out.end(), Word) != Out.end())
      Errors.add(At + " repeats \"" + Word + "\"", "list each value once");
    Out.push_back(std::move(Word));
  }
  return Out;
}

std::map<RegionName, std::vector<RegionName>>
readSpillOrder(const json::object &Members, const std::string &Path,
               JsonErrors &Errors) {
  std::map<RegionName, std::vector<RegionName>> Out;
  for (const auto &Member : Members) {
    const std::string From = nameOfMember(Member, Path, Errors);
    const std::string At = Path + "." + From;
    const json::array *List = Member.value().if_array();
    if (!List) {
      Errors.wrongValue(At, Member.value(), "a list of regions");
      continue;
    }
    const auto IsOtherRegion = [&](const std::string &Word) {
      return isName(Word) && Word != From;
    };
    std::vector<RegionName> &Order = Out[RegionName(From)];
    for (std::string &To :
         readTexts(*List, At, "names of regions other than " + From,
                   IsOtherRegion, Errors))
      Order.emplace_back(std::move(To));
  }
  return Out;
}

std::vector<LinkCap> readLinkCaps(const json::array &List,
                                  const ObjectReader &Parent,
                                  JsonErrors &Errors) {
  std::vector<LinkCap> Out;
  std::set<std::pair<std::string, std::string>> Seen;
  for (std::size_t I = 0; I < List.size(); ++I) {
    ObjectReader Reader(List[I], Parent.path("link_caps", I), Errors);
    std::string From;
    std::string To;
    LinkCap Cap;
    Reader.name("from", From);
    Reader.name("to", To);
    Reader.integerAs("mbit", Cap.Mbit, 1, MaxLinkMbit);
    Reader.rejectOthers();
    if (!From.empty() && From == To)
      Errors.add(Reader.path("to") + " is \"" + To + "\", the same as from",
                 "accepted: a region other than from");
    else if (!Seen.emplace(From, To).second)
      Errors.add(Parent.path("link_caps", I) + " repeats the link \"" + From +
                     "\" to \"" + To + "\"",
                 "list each directed pair once");
    Cap.From = RegionName(std::move(From));
    Cap.To = RegionName(std::move(To));
    Out.push_back(std::move(Cap));
  }
  return Out;
}

ConfigDefaults readDefaults(const json::value &Json, JsonErrors &Errors) {
  ConfigDefaults D;
  ObjectReader Reader(Json, "defaults", Errors);
  Reader.number("max_shift_per_second", D.MaxShiftPerSecond, MinShiftPerSecond,
                1, Optional);
  Reader.number("max_shift", D.MaxShift, 0, 1, Optional);
  Reader.number("target_utilization", D.TargetUtilization, MinTargetUtilization,
                1, Optional);
  Reader.number("retry_share", D.RetryShare, 0, 1, Optional);
  readMilliseconds(Reader, "request_timeout_ms", D.RequestTimeout, 1,
                   MaxRequestTimeoutMs);
  readMilliseconds(Reader, "lookup_ttl_ms", D.LookupTtl, MinLookupTtlMs,
                   MaxLookupTtlMs);
  Reader.integerAs("max_entry_hosts", D.MaxEntryHosts, 1, MaxEntryHostsLimit,
                   Optional);
  if (const json::object *Order = Reader.object("spill_order", Optional))
    D.SpillOrder = readSpillOrder(*Order, Reader.path("spill_order"), Errors);
  if (const json::array *Caps = Reader.array("link_caps", Optional))
    D.LinkCaps = readLinkCaps(*Caps, Reader, Errors);
  Reader.rejectOthers();
  return D;
}

ServiceConfig readService(const json::value &Json, std::string Path,
                          JsonErrors &Errors) {
  ServiceConfig S;
  ObjectReader Reader(Json, std::move(Path), Errors);
  const auto IsMethod = [](const std::string &Word) {
    return std::find(RepeatableMethods.begin(), RepeatableMethods.end(),
                     Word) != RepeatableMethods.end();
  };
  if (const json::array *Methods = Reader.array("repeatable_methods", Optional))
    S.RepeatableMethods =
        readTexts(*Methods, Reader.path("repeatable_methods"),
                  "PUT, POST, PATCH, DELETE", IsMethod, Errors);
  if (Reader.has("request_timeout_ms"))
    S.RequestTimeout.emplace();
  std::chrono::milliseconds Timeout{0};
  readMilliseconds(Reader, "request_timeout_ms", Timeout, 1,
                   MaxRequestTimeoutMs);
  if (S.RequestTimeout)
    S.RequestTimeout = Timeout;
  Reader.rejectOthers();
  return S;
}

std::string serviceNames(const ConfigDocument &Document) {
  std::string Out;
  for (const auto &[Name, Service] : Document.Services)
    Out += (Out.empty() ? "" : ", ") + Name.value();
  return Out.empty() ? "none, because services is empty" : Out;
}

void requireService(const ObjectReader &Reader, std::string_view Key,
                    const std::string &Name, const ConfigDocument &Document,
                    JsonErrors &Errors) {
  if (!Document.Services.contains(ServiceName(Name)))
    Errors.wrongValue(Reader.path(Key), json::value(Name),
                      serviceNames(Document));
}

ConfigException readException(const json::value &Json, std::string Path,
                              const ConfigDocument &Document,
                              JsonErrors &Errors) {
  ConfigException E;
  ObjectReader Reader(Json, std::move(Path), Errors);
  Reader.name("id", E.Id);
  std::string Kind;
  if (Reader.name("kind", Kind)) {
    const auto Parsed = parseExceptionKind(Kind);
    if (!Parsed)
      Errors.wrongValue(Reader.path("kind"), json::value(Kind),
                        AcceptedExceptionKinds);
    E.Kind = Parsed.value_or(ExceptionKind::AvoidRegion);
  }
  const bool IsCap = E.Kind == ExceptionKind::ShiftCap;
  if (Reader.name("subject", E.Subject) && IsCap)
    requireService(Reader, "subject", E.Subject, Document, Errors);
  std::string Service;
  if (Reader.name("service", Service, Optional)) {
    requireService(Reader, "service", Service, Document, Errors);
    E.Service = ServiceName(std::move(Service));
  }
  double Value = 0;
  if (Reader.number("value", Value, 0, 1,
                    IsCap ? ObjectReader::Required : Optional))
    E.Value = Value;
  if (E.Value && !IsCap)
    Errors.add(Reader.path("value") + " is set for kind " + Kind,
               "accepted: a value only for kind shift_cap");
  Reader.text("reason", E.Reason, MaxReasonLength);
  Reader.text("operator", E.Operator, MaxOperatorLength);
  std::uint64_t Expires = 0;
  if (Reader.integer("expires_unix_ms", Expires, 1, MaxExactNumber, Optional))
    E.ExpiresUnixMs = Expires;
  Reader.rejectOthers();
  return E;
}

void readExceptions(const json::array &List, const ObjectReader &Parent,
                    ConfigDocument &Document, JsonErrors &Errors) {
  std::set<std::string> Ids;
  for (std::size_t I = 0; I < List.size() && !Errors; ++I) {
    const std::string Path = Parent.path("exceptions", I);
    Document.Exceptions.push_back(
        readException(List[I], Path, Document, Errors));
    const std::string &Id = Document.Exceptions.back().Id;
    if (!Ids.insert(Id).second)
      Errors.add(Path + ".id repeats \"" + Id + "\"",
                 "accepted: an id that no other exception has");
  }
}

ConfigDocument readDocument(const json::value &Json, JsonErrors &Errors) {
  ConfigDocument D;
  ObjectReader Reader(Json, "", Errors);
  Reader.integer("version", D.Version, 1, MaxExactNumber);
  Reader.integer("base_version", D.BaseVersion, 0,
                 D.Version > 0 ? D.Version - 1 : MaxExactNumber);
  Reader.name("change_id", D.ChangeId);
  Reader.text("operator", D.Operator, MaxOperatorLength);
  Reader.text("reason", D.Reason, MaxReasonLength);
  if (const json::value *Defaults = Reader.any("defaults"))
    D.Defaults = readDefaults(*Defaults, Errors);
  if (const json::object *Services = Reader.object("services"))
    for (const auto &Member : *Services) {
      const std::string Name = nameOfMember(Member, "services", Errors);
      D.Services[ServiceName(Name)] =
          readService(Member.value(), "services." + Name, Errors);
    }
  if (const json::array *Exceptions = Reader.array("exceptions"))
    readExceptions(*Exceptions, Reader, D, Errors);
  Reader.rejectOthers();
  return D;
}

} // namespace

boost::leaf::result<ConfigDocument> parseConfigDocument(std::string_view Json) {
  JsonErrors Errors(ErrorKind::InvalidConfiguration);
  const json::value Value = parseJson(Json, Errors);
  if (!Errors) {
    ConfigDocument Document = readDocument(Value, Errors);
    if (!Errors)
      return Document;
  }
  return boost::leaf::new_error(Errors.first());
}

std::vector<std::string_view> configKeys() {
  return {"version",
          "base_version",
          "change_id",
          "operator",
          "reason",
          "defaults",
          "defaults.max_shift_per_second",
          "defaults.max_shift",
          "defaults.target_utilization",
          "defaults.retry_share",
          "defaults.request_timeout_ms",
          "defaults.lookup_ttl_ms",
          "defaults.max_entry_hosts",
          "defaults.spill_order",
          "defaults.spill_order.*",
          "defaults.link_caps",
          "defaults.link_caps[].from",
          "defaults.link_caps[].to",
          "defaults.link_caps[].mbit",
          "services",
          "services.*",
          "services.*.repeatable_methods",
          "services.*.request_timeout_ms",
          "exceptions",
          "exceptions[].id",
          "exceptions[].kind",
          "exceptions[].subject",
          "exceptions[].service",
          "exceptions[].value",
          "exceptions[].reason",
          "exceptions[].operator",
          "exceptions[].expires_unix_ms"};
}

} // namespace masticgap
