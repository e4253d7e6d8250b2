#include "masticgap/protocol/platform_json.hpp"

#include "masticgap/state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace masticgap::protocol {

namespace json = boost::json;
using coordination::StoreOp;

namespace {

constexpr std::uint64_t MaxUnsigned = std::numeric_limits<std::uint64_t>::max();

template <class Strong>
void readName(ObjectReader &Reader, std::string_view Key, Strong &Out) {
  std::string Text;
  if (Reader.name(Key, Text))
    Out = Strong(std::move(Text));
}

WorkerDescriptor readWorker(const json::value &Json, std::string Path,
                            JsonErrors &Errors) {
  WorkerDescriptor W;
  ObjectReader Reader(Json, std::move(Path), Errors);
  readName(Reader, "id", W.Id);
  readName(Reader, "service", W.Service);
  readName(Reader, "region", W.Region);
  readName(Reader, "domain", W.Domain);
  Reader.text("address", W.Address.Address, MaxNameLength);
  Reader.integerAs("port", W.Address.Port, 1);
  Reader.integer("incarnation", W.Run.Value, 0, MaxUnsigned);
  Reader.integerAs("slots", W.Slots, 1);
  Reader.integerAs("max_connections", W.MaxConnections, 1);
  Reader.flag("leaving", W.Leaving, ObjectReader::Optional);
  return W;
}

EntryHostDescriptor readEntryHost(const json::value &Json, std::string Path,
                                  JsonErrors &Errors) {
  EntryHostDescriptor H;
  ObjectReader Reader(Json, std::move(Path), Errors);
  readName(Reader, "id", H.Id);
  readName(Reader, "region", H.Region);
  readName(Reader, "domain", H.Domain);
  Reader.integer("incarnation", H.Run.Value, 0, MaxUnsigned);
  Reader.text("address", H.Address, MaxNameLength);
  Reader.integerAs("lookup_port", H.LookupPort, 1);
  Reader.integerAs("traffic_port", H.TrafficPort, 1);
  Reader.integerAs("admin_port", H.AdminPort, 1);
  Reader.integerAs("gossip_port", H.GossipPort, 1);
  return H;
}

TableRow readRow(const json::value &Json, std::string Path,
                 ObjectReader::Presence KeyPresence, JsonErrors &Errors) {
  TableRow Row;
  ObjectReader Reader(Json, std::move(Path), Errors);
  if (const json::value *Key = Reader.any("key", KeyPresence)) {
    if (Key->is_string())
      Row.Key = Key->get_string().c_str();
    else
      Errors.wrongValue(Reader.path("key"), *Key, "a string");
  }
  Reader.integer("version", Row.Version, 1, MaxUnsigned);
  const json::value *Value = Reader.any("value");
  if (Value && Value->is_string())
    Row.Value.assign(Value->get_string().data(), Value->get_string().size());
  else if (Value)
    Errors.wrongValue(Reader.path("value"), *Value, "a string");
  return Row;
}

StoreOp readOp(const json::value &Json, std::string Path, JsonErrors &Errors) {
  StoreOp Op;
  ObjectReader Reader(Json, std::move(Path), Errors);
  std::string OpName;
  Reader.name("op", OpName);
  if (OpName == "put")
    Op.What = StoreOp::Kind::Put;
  else if (OpName == "delete")
    Op.What = StoreOp::Kind::Delete;
  else if (OpName == "check")
    Op.What = StoreOp::Kind::Check;
  else
    Errors.wrongValue(Reader.path("op"), json::value(OpName),
                      "put, delete, check");
  Reader.name("table", Op.Table);
  Reader.text("key", Op.Key, 1024);
  const auto Needed = Op.What == StoreOp::Kind::Put ? ObjectReader::Required
                                                    : ObjectReader::Optional;
  const json::value *Value = Reader.any("value", Needed);
  if (Value && Value->is_string())
    Op.Value.assign(Value->get_string().data(), Value->get_string().size());
  else if (Value)
    Errors.wrongValue(Reader.path("value"), *Value, "a string");
  std::uint64_t IfVersion = 0;
  if (Reader.integer("if_version", IfVersion, 0, MaxUnsigned,
                     ObjectReader::Optional))
    Op.IfVersion = IfVersion;
  return Op;
}

template <class T>
boost::leaf::result<T> valueOrError(T Value, const JsonErrors &Errors) {
  if (Errors)
    return boost::leaf::new_error(Errors.first());
  return Value;
}

//! Reads the list \p Key, calling \p Read for each element.
template <class T, class Function>
std::vector<T> readList(ObjectReader &Reader, std::string_view Key,
                        JsonErrors &Errors, Function Read) {
  std::vector<T> Out;
  const json::array *List = Reader.array(Key);
  if (!List)
    return Out;
  for (std::size_t I = 0; I < List->size() && !Errors; ++I)
    Out.push_back(Read((*List)[I], Reader.path(Key, I), Errors));
  return Out;
}

std::string_view nameOf(StoreOp::Kind Kind) {
  switch (Kind) {
  case StoreOp::Kind::Put:
    return "put";
  case StoreOp::Kind::Delete:
    return "delete";
  case StoreOp::Kind::Check:
    return "check";
  }
  return "check";
}

} // namespace

json::object toJson(const WorkerDescriptor &W) {
  return {{"id", W.Id.value()},
          {"service", W.Service.value()},
          {"region", W.Region.value()},
          {"domain", W.Domain.value()},
          {"address", W.Address.Address},
          {"port", W.Address.Port},
          {"incarnation", W.Run.Value},
          {"slots", W.Slots},
          {"max_connections", W.MaxConnections},
          {"leaving", W.Leaving}};
}

json::object toJson(const EntryHostDescriptor &H) {
  return {{"id", H.Id.value()},
          {"region", H.Region.value()},
          {"domain", H.Domain.value()},
          {"incarnation", H.Run.Value},
          {"address", H.Address},
          {"lookup_port", H.LookupPort},
          {"traffic_port", H.TrafficPort},
          {"admin_port", H.AdminPort},
          {"gossip_port", H.GossipPort}};
}

boost::leaf::result<WorkerDescriptor>
parseWorkerDescriptor(const json::value &Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  return valueOrError(readWorker(Json, "", Errors), Errors);
}

boost::leaf::result<EntryHostDescriptor>
parseEntryHostDescriptor(const json::value &Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  return valueOrError(readEntryHost(Json, "", Errors), Errors);
}

boost::leaf::result<HostList> readHostList(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  HostList Hosts;
  if (const json::array *Workers = Reader.array("workers"))
    for (std::size_t I = 0; I < Workers->size(); ++I) {
      JsonErrors WorkerErrors(ErrorKind::Protocol);
      WorkerDescriptor Worker =
          readWorker((*Workers)[I], Reader.path("workers", I), WorkerErrors);
      if (WorkerErrors)
        Hosts.Skipped.push_back(WorkerErrors.first());
      else
        Hosts.Workers.push_back(std::move(Worker));
    }
  Hosts.EntryHosts = readList<EntryHostDescriptor>(Reader, "entry_hosts",
                                                   Errors, readEntryHost);
  return valueOrError(std::move(Hosts), Errors);
}

boost::leaf::result<HostList> parseHostList(std::string_view Json) {
  BOOST_LEAF_AUTO(Hosts, readHostList(Json));
  if (!Hosts.Skipped.empty())
    return boost::leaf::new_error(Hosts.Skipped.front());
  return Hosts;
}

std::string toJson(const HostList &Hosts) {
  json::array Workers;
  for (const WorkerDescriptor &W : Hosts.Workers)
    Workers.push_back(toJson(W));
  json::array EntryHosts;
  for (const EntryHostDescriptor &H : Hosts.EntryHosts)
    EntryHosts.push_back(toJson(H));
  return json::serialize(json::object{{"workers", std::move(Workers)},
                                      {"entry_hosts", std::move(EntryHosts)}});
}

std::string toJson(const std::vector<StoreOp> &Ops) {
  json::array List;
  for (const StoreOp &Op : Ops) {
    json::object OpObject{
        {"op", nameOf(Op.What)}, {"table", Op.Table}, {"key", Op.Key}};
    if (Op.What == StoreOp::Kind::Put)
      OpObject["value"] = Op.Value;
    if (Op.IfVersion)
      OpObject["if_version"] = *Op.IfVersion;
    List.push_back(std::move(OpObject));
  }
  return json::serialize(json::object{{"ops", std::move(List)}});
}

boost::leaf::result<std::vector<StoreOp>> parseTransact(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  return valueOrError(readList<StoreOp>(Reader, "ops", Errors, readOp), Errors);
}

boost::leaf::result<std::uint64_t> parseCommitted(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  std::uint64_t Version = 0;
  Reader.integer("version", Version, 1, MaxUnsigned);
  return valueOrError(Version, Errors);
}

boost::leaf::result<std::vector<std::size_t>>
parseConflict(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  const auto ReadIndex = [](const json::value &Index, const std::string &Path,
                            JsonErrors &Problems) -> std::size_t {
    json::error_code Failure;
    const auto Number = Index.to_number<std::size_t>(Failure);
    if (Failure || Index.is_double())
      Problems.wrongValue(Path, Index, "an index");
    return Number;
  };
  return valueOrError(
      readList<std::size_t>(Reader, "failed", Errors, ReadIndex), Errors);
}

boost::leaf::result<TableRow> parseRow(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  return valueOrError(readRow(Value, "", ObjectReader::Optional, Errors),
                      Errors);
}

boost::leaf::result<std::vector<TableRow>> parseScan(std::string_view Json) {
  JsonErrors Errors(ErrorKind::Protocol);
  const json::value Value = parseJson(Json, Errors);
  ObjectReader Reader(Value, "", Errors);
  const auto ReadRow = [](const json::value &Row, std::string Path,
                          JsonErrors &Problems) {
    return readRow(Row, std::move(Path), ObjectReader::Required, Problems);
  };
  return valueOrError(readList<TableRow>(Reader, "rows", Errors, ReadRow),
                      Errors);
}

std::string toJson(const std::vector<TableRow> &Rows) {
  json::array List;
  for (const TableRow &Row : Rows)
    List.push_back(json::object{
        {"key", Row.Key}, {"version", Row.Version}, {"value", Row.Value}});
  return json::serialize(json::object{{"rows", std::move(List)}});
}

} // namespace masticgap::protocol
