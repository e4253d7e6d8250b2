#include "standins/caller/caller.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(settings, "", "JSON file with look-up addresses and services");
DEFINE_string(source, "", "own IP number; empty takes any");
DEFINE_uint32(threads, 8, "callers that run at the same time");
DEFINE_double(seconds, 20, "time to run in seconds");
DEFINE_double(pause_ms, 20, "mean pause between two requests of a caller");
DEFINE_uint32(timeout_ms, 2000, "deadline of a request");
DEFINE_double(bare_share, 0, "share of keys without a binding, 0 to 1");
DEFINE_uint32(max_sends, 4, "sends of one non-repeatable request");
DEFINE_string(marker, "", "text that is put into the body of each POST");
DEFINE_bool(direct, false, "send to the workers directly, for comparison");
DEFINE_bool(lookups_only, false, "only look up");
DEFINE_uint64(seed, 1, "seed of choices and pauses");
DEFINE_string(name, "caller", "prefix of request ids; unique in a run");

namespace {

using namespace masticgap;
using namespace masticgap::standins;

std::vector<Endpoint> endpoints(const boost::json::value &List) {
  std::vector<Endpoint> Result;
  for (const auto &Item : List.as_array())
    Result.push_back({boost::json::value_to<std::string>(Item.at("address")),
                      Item.at("port").to_number<std::uint16_t>()});
  return Result;
}

CallerSettings readSettings() {
  std::ifstream File(FLAGS_settings);
  if (!File)
    throw std::runtime_error("cannot read --settings " + FLAGS_settings);
  std::stringstream Text;
  Text << File.rdbuf();
  const auto Json = boost::json::parse(Text.str());
  CallerSettings Settings;
  Settings.Lookups = endpoints(Json.at("lookups"));
  for (const auto &Service : Json.at("services").as_array())
    Settings.Services.push_back(
        {boost::json::value_to<std::string>(Service.at("name")),
         Service.at("repeatable").as_bool(),
         Service.at("weight").to_number<double>()});
  if (FLAGS_direct)
    for (const auto &[Name, List] : Json.at("direct").as_object())
      Settings.Direct[Name] = endpoints(List);
  return Settings;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stand-in for callers; prints one JSON report");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  try {
    CallerSettings Settings = readSettings();
    Settings.Source = FLAGS_source;
    Settings.Length = std::chrono::milliseconds(
        static_cast<std::int64_t>(FLAGS_seconds * 1000));
    Settings.Pause = std::chrono::microseconds(
        static_cast<std::int64_t>(FLAGS_pause_ms * 1000));
    Settings.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    Settings.BareShare = FLAGS_bare_share;
    Settings.MaxSends = FLAGS_max_sends;
    Settings.Marker = FLAGS_marker;
    Settings.LookupsOnly = FLAGS_lookups_only;
    std::vector<CallerReport> Reports(FLAGS_threads);
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < FLAGS_threads; ++I) {
      Settings.Seed = FLAGS_seed * 1000 + I;
      Settings.Name = FLAGS_name + "-" + std::to_string(I);
      Threads.emplace_back([Settings, &Report = Reports[I]] {
        Report = Caller(Settings).run();
      });
    }
    CallerReport Sum;
    for (unsigned I = 0; I < FLAGS_threads; ++I) {
      Threads[I].join();
      Sum.add(std::move(Reports[I]));
    }
    std::cout << boost::json::serialize(Sum.toJson()) << std::endl;
  } catch (const std::exception &Failure) {
    std::cerr << "standin-caller: " << Failure.what() << '\n';
    return 1;
  }
}
