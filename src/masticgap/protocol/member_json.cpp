#include "masticgap/protocol/member_json.hpp"

#include "masticgap/protocol/platform_json.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/state/json_reader.hpp"

#include <boost/json/serialize.hpp>

#include <array>
#include <limits>

namespace masticgap::protocol {

namespace json = boost::json;
using coordination::MemberRecord;
using coordination::MemberStatus;

namespace {

constexpr std::uint64_t MaxUnsigned = std::numeric_limits<std::uint64_t>::max();
//! Status names, indexed by MemberStatus.
constexpr std::array<std::string_view, 4> StatusNames = {"alive", "suspect",
                                                         "dead", "left"};

MemberRecord readMember(const json::value &Json, const std::string &Path,
                        JsonErrors &Errors) {
  MemberRecord Member;
  auto Host = capture<EntryHostDescriptor>(
      [&] { return parseEntryHostDescriptor(Json); });
  if (const Error *E = std::get_if<Error>(&Host)) {
    Errors.add(Path + "." + E->Message, E->Remedy);
    return Member;
  }
  Member.Host = std::get<EntryHostDescriptor>(std::move(Host));
  ObjectReader Reader(Json, Path, Errors);
  Reader.integerAs("revision", Member.Revision, 0);
  Reader.flag("draining", Member.Draining);
  Reader.integer("config_version", Member.ConfigVersion, 0, MaxUnsigned);
  Reader.integer("epoch", Member.Epoch, 0, MaxUnsigned);
  Reader.integerAs("size_class", Member.SizeClass, 0,
                   coordination::MaxSizeClass, ObjectReader::Optional);
  std::string Status;
  if (!Reader.name("status", Status))
    return Member;
  for (std::size_t I = 0; I < StatusNames.size(); ++I)
    if (StatusNames[I] == Status) {
      Member.Status = static_cast<MemberStatus>(I);
      return Member;
    }
  Errors.wrongValue(Reader.path("status"), json::value(Status),
                    "alive, suspect, dead, left");
  return Member;
}

} // namespace

std::string toJson(std::span<const MemberRecord> Members) {
  json::array List;
  for (const MemberRecord &Member : Members) {
    json::object MemberObject = toJson(Member.Host);
    MemberObject["revision"] = Member.Revision;
    MemberObject["status"] =
        StatusNames[static_cast<std::size_t>(Member.Status)];
    MemberObject["draining"] = Member.Draining;
    MemberObject["config_version"] = Member.ConfigVersion;
    MemberObject["epoch"] = Member.Epoch;
    if (Member.SizeClass != 0)
      MemberObject["size_class"] = Member.SizeClass;
    List.push_back(std::move(MemberObject));
  }
  return json::serialize(json::object{{"members", std::move(List)}});
}

boost::leaf::result<std::vector<MemberRecord>>
parseMembers(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  std::vector<MemberRecord> Members;
  if (const json::array *List = Reader.array("members"))
    for (std::size_t I = 0; I < List->size() && !Errors; ++I)
      Members.push_back(
          readMember((*List)[I], Reader.path("members", I), Errors));
  if (Errors)
    return boost::leaf::new_error(Errors.first());
  return Members;
}

} // namespace masticgap::protocol
