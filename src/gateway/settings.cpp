#include "gateway/settings.hpp"

#include "masticgap/transport/settings_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <fstream>
#include <iterator>
#include <limits>

namespace masticgap::gateway {

namespace leaf = boost::leaf;
using transport::SettingsReader;

namespace {

constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxTimeMs = 3600000; //!< One hour.
constexpr double MaxRetrySlack = 1e6;        //!< Retries.
constexpr double MaxProcessorShare = 1024;   //!< Cores.
constexpr double MaxQuotaSlack = 1e6;        //!< Requests.

leaf::error_id invalid(std::string Message, std::string Remedy) {
  return leaf::new_error(
      Error{ErrorKind::InvalidSettings, std::move(Message), std::move(Remedy)});
}

void readPlace(SettingsReader &Reader, GatewaySettings &Settings) {
  Settings.Host = HostId(Reader.text("host"));
  Settings.Region = RegionName(Reader.text("region"));
  Settings.Domain = FailureDomainName(Reader.text("failure_domain"));
  for (const auto &[Domain, Region] : Reader.texts("failure_domains"))
    Settings.DomainRegions.emplace(FailureDomainName(Domain),
                                   RegionName(Region));
}

void readAddresses(SettingsReader &Reader, GatewaySettings &Settings) {
  Settings.Traffic = Reader.endpoint("traffic");
  Settings.Readiness = Reader.endpoint("readiness");
  Settings.Lookup = Reader.endpoint("lookup");
  Settings.Platform = Reader.endpoint("platform");
  Settings.Seeds = Reader.endpoints("seeds");
  Settings.GossipPort =
      Reader.number("gossip_port", 1, MaxPort, Settings.GossipPort);
  Settings.PeerPort = Reader.number("peer_port", 1, MaxPort, Settings.PeerPort);
  Settings.AccountPort =
      Reader.number("account_port", 0, MaxPort, Settings.AccountPort);
  Settings.LoadPort = Reader.number("load_port", 0, MaxPort, Settings.LoadPort);
  Settings.MetricsPort =
      Reader.number("metrics_port", 0, MaxPort, Settings.MetricsPort);
}

void readLimits(SettingsReader &Reader, GatewaySettings &Settings) {
  Settings.LookupTtl =
      Reader.duration("lookup_ttl", 100, MaxTimeMs, Settings.LookupTtl);
  Settings.GracePeriod =
      Reader.duration("grace_period", 100, MaxTimeMs, Settings.GracePeriod);
  Settings.ServeCached =
      Reader.duration("serve_cached", 0, MaxTimeMs, Settings.ServeCached);
  Settings.ConnectTimeout =
      Reader.duration("connect_timeout", 1, MaxTimeMs, Settings.ConnectTimeout);
  Settings.TimeoutSlack =
      Reader.duration("timeout_slack", 0, MaxTimeMs, Settings.TimeoutSlack);
  Settings.CrossRegionRoundTrip = Reader.duration(
      "cross_region", 0, MaxTimeMs, Settings.CrossRegionRoundTrip);
  Settings.GossipPeriod =
      Reader.duration("gossip_period", 50, MaxTimeMs, Settings.GossipPeriod);
  Settings.MaxCallers =
      Reader.number("max_callers", 1, 1000000, Settings.MaxCallers);
  Settings.MemoryMb =
      Reader.number("memory_mb", 16, 1U << 20, Settings.MemoryMb);
  Settings.FileDescriptors =
      Reader.number("file_descriptors", 64, 1U << 24, Settings.FileDescriptors);
  Settings.MinBodyRate =
      Reader.number("min_body_rate", 0, 1U << 30, Settings.MinBodyRate);
  Settings.Retries.Ratio =
      Reader.decimal("retry_ratio", 0, 10, Settings.Retries.Ratio);
  Settings.Retries.Slack =
      Reader.decimal("retry_slack", 0, MaxRetrySlack, Settings.Retries.Slack);
  Settings.Retries.Window = Reader.duration("retry_window", 1000, MaxTimeMs,
                                            std::chrono::seconds(10));
  Settings.QuotaWindow =
      Reader.duration("quota_window", 100, MaxTimeMs, Settings.QuotaWindow);
  Settings.QuotaOverage =
      Reader.decimal("quota_overage", 0, 10, Settings.QuotaOverage);
  Settings.QuotaSlack =
      Reader.decimal("quota_slack", 0, MaxQuotaSlack, Settings.QuotaSlack);
  Settings.ProcessorShare = Reader.decimal(
      "processor_share", 0, MaxProcessorShare, Settings.ProcessorShare);
  // In the order of the enumerators.
  constexpr std::string_view Modes[] = {"auto", "on", "off"};
  Settings.LoadExchange = static_cast<LoadExchangeMode>(Reader.word(
      "load_exchange", Modes, static_cast<std::size_t>(Settings.LoadExchange)));
  Settings.LoadPeriod =
      Reader.duration("load_period", 50, MaxTimeMs, Settings.LoadPeriod);
  Settings.LogRequests = Reader.flag("log_requests", Settings.LogRequests);
}

} // namespace

leaf::result<GatewaySettings> parseSettings(std::string_view Json) {
  boost::json::error_code Failure;
  const boost::json::value Value =
      boost::json::parse({Json.data(), Json.size()}, Failure);
  if (Failure)
    return invalid("the settings are not valid JSON: " + Failure.message(),
                   "correct the JSON syntax");
  if (!Value.is_object())
    return invalid("the settings are not a JSON object",
                   "write them as {\"host\":…}");
  SettingsReader Reader(Value.as_object());
  GatewaySettings Settings;
  readPlace(Reader, Settings);
  readAddresses(Reader, Settings);
  readLimits(Reader, Settings);
  if (auto Problem = Reader.finish())
    return leaf::new_error(std::move(*Problem));
  if (!Settings.DomainRegions.contains(Settings.Domain))
    return invalid("setting \"failure_domain\" has the value \"" +
                       Settings.Domain.value() +
                       "\", which \"failure_domains\" does not have",
                   "add the failure domain and its region");
  return Settings;
}

leaf::result<GatewaySettings> loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return invalid("the settings file \"" + Path + "\" cannot be read",
                   "pass a readable file with --settings");
  const std::string Json{std::istreambuf_iterator<char>(File), {}};
  return parseSettings(Json);
}

} // namespace masticgap::gateway
