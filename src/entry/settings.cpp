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

void readLimits(SettingsReader &Reader, EntryLimits &Limits) {
  Limits.MaxHeaderBytes =
      Reader.number("max_header_bytes", 512, 1 << 20, Limits.MaxHeaderBytes);
  Limits.MaxBodyBytes =
      Reader.number("max_body_bytes", 0, Gibibyte, Limits.MaxBodyBytes);
  Limits.BufferedBodyBytes = Reader.number("buffered_body_bytes", 0, 16 << 20,
                                           Limits.BufferedBodyBytes);
  Limits.MaxCallers =
      Reader.number("max_callers", 1, MaxCount, Limits.MaxCallers);
  Limits.MaxWaiting =
      Reader.number("max_waiting", 0, MaxCount, Limits.MaxWaiting);
  Limits.ReceiveTimeout =
      Reader.time("receive_timeout_ms", 1, MaxTimeMs, Limits.ReceiveTimeout);
  Limits.SendTimeout =
      Reader.time("send_timeout_ms", 1, MaxTimeMs, Limits.SendTimeout);
  Limits.IdleTimeout =
      Reader.time("idle_timeout_ms", 1, MaxTimeMs, Limits.IdleTimeout);
  Limits.ConnectTimeout =
      Reader.time("connect_timeout_ms", 1, MaxTimeMs, Limits.ConnectTimeout);
}

void readPorts(SettingsReader &Reader, EntrySettings &Settings) {
  Settings.LookupPort =
      Reader.number("lookup_port", 0, MaxPort, Settings.LookupPort);
  Settings.TrafficPort =
      Reader.number("traffic_port", 0, MaxPort, Settings.TrafficPort);
  Settings.AdminPort =
      Reader.number("admin_port", 0, MaxPort, Settings.AdminPort);
  Settings.GossipPort =
      Reader.number("gossip_port", 0, MaxPort, Settings.GossipPort);
}

EntrySettings readSettings(SettingsReader &Reader) {
  EntrySettings Settings;
  Settings.Host = HostId(Reader.text("host"));
  Settings.Region = RegionName(Reader.text("region"));
  Settings.Domain = FailureDomainName(Reader.text("failure_domain"));
  Settings.Address = Reader.address("address");
  readPorts(Reader, Settings);
  Settings.Platform = Reader.endpoint("platform");
  Settings.Seeds = Reader.endpoints("seeds");
  Settings.Seed = Reader.number(
      "seed", 0, std::numeric_limits<std::int64_t>::max(), Settings.Seed);
  Settings.LookupThreads =
      Reader.number("lookup_threads", 0, 1, Settings.LookupThreads);
  Settings.DrainGrace =
      Reader.time("drain_grace_ms", 0, MaxTimeMs, Settings.DrainGrace);
  Settings.DrainLimit =
      Reader.time("drain_limit_ms", 0, MaxTimeMs, Settings.DrainLimit);
  Settings.ProbeInterval =
      Reader.time("probe_interval_ms", 10, MaxTimeMs, Settings.ProbeInterval);
  readLimits(Reader, Settings.Limits);
  return Settings;
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
