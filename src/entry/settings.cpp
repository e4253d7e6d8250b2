#include "entry/settings.hpp"

#include "masticgap/transport/settings_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <fstream>
#include <iterator>
#include <limits>

namespace masticgap::entry {

namespace leaf = boost::leaf;
using transport::SettingsReader;

namespace {

constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxTimeMs = 3600000;
constexpr std::uint64_t MaxCount = 1000000;
constexpr std::uint64_t Gibibyte = std::uint64_t{1} << 30;

void readLimits(SettingsReader &Reader, EntryLimits &L) {
  L.MaxHeaderBytes =
      Reader.number("max_header_bytes", 512, 1 << 20, L.MaxHeaderBytes);
  L.MaxBodyBytes = Reader.number("max_body_bytes", 0, Gibibyte, L.MaxBodyBytes);
  L.BufferedBodyBytes =
      Reader.number("buffered_body_bytes", 0, 16 << 20, L.BufferedBodyBytes);
  L.MaxCallers = Reader.number("max_callers", 1, MaxCount, L.MaxCallers);
  L.MaxWaiting = Reader.number("max_waiting", 0, MaxCount, L.MaxWaiting);
  L.ReceiveTimeout =
      Reader.time("receive_timeout_ms", 1, MaxTimeMs, L.ReceiveTimeout);
  L.SendTimeout = Reader.time("send_timeout_ms", 1, MaxTimeMs, L.SendTimeout);
  L.IdleTimeout = Reader.time("idle_timeout_ms", 1, MaxTimeMs, L.IdleTimeout);
  L.ConnectTimeout =
      Reader.time("connect_timeout_ms", 1, MaxTimeMs, L.ConnectTimeout);
}

void readPorts(SettingsReader &Reader, EntrySettings &S) {
  S.LookupPort = Reader.number("lookup_port", 0, MaxPort, S.LookupPort);
  S.TrafficPort = Reader.number("traffic_port", 0, MaxPort, S.TrafficPort);
  S.AdminPort = Reader.number("admin_port", 0, MaxPort, S.AdminPort);
  S.GossipPort = Reader.number("gossip_port", 0, MaxPort, S.GossipPort);
}

EntrySettings readSettings(SettingsReader &Reader) {
  EntrySettings S;
  S.Host = HostId(Reader.text("host"));
  S.Region = RegionName(Reader.text("region"));
  S.Domain = FailureDomainName(Reader.text("failure_domain"));
  S.Address = Reader.address("address");
  readPorts(Reader, S);
  S.Platform = Reader.endpoint("platform");
  S.Seeds = Reader.endpoints("seeds");
  S.Seed = Reader.number("seed", 0, std::numeric_limits<std::int64_t>::max(),
                         S.Seed);
  S.LookupThreads = Reader.number("lookup_threads", 0, 1, S.LookupThreads);
  S.DrainGrace = Reader.time("drain_grace_ms", 0, MaxTimeMs, S.DrainGrace);
  S.DrainLimit = Reader.time("drain_limit_ms", 0, MaxTimeMs, S.DrainLimit);
  S.ProbeInterval =
      Reader.time("probe_interval_ms", 10, MaxTimeMs, S.ProbeInterval);
  readLimits(Reader, S.Limits);
  return S;
}

leaf::error_id invalid(std::string Message, std::string Remedy) {
  return leaf::new_error(
      Error{ErrorKind::InvalidSettings, std::move(Message), std::move(Remedy)});
}

} // namespace

leaf::result<EntrySettings> parseSettings(std::string_view Json) {
  boost::json::error_code Failure;
  const boost::json::value Value =
      boost::json::parse({Json.data(), Json.size()}, Failure);
  if (Failure)
    return invalid("the settings are not JSON: " + Failure.message(),
                   "correct the text");
  if (!Value.is_object())
    return invalid("the settings are not a JSON object",
                   "write them as {\"host\":…}");
  SettingsReader Reader(Value.as_object());
  EntrySettings Settings = readSettings(Reader);
  if (auto Problem = Reader.finish())
    return leaf::new_error(std::move(*Problem));
  return Settings;
}

leaf::result<EntrySettings> loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return invalid("the settings file \"" + Path + "\" cannot be read",
                   "pass a readable file with --settings");
  const std::string Json{std::istreambuf_iterator<char>(File), {}};
  return parseSettings(Json);
}

} // namespace masticgap::entry
