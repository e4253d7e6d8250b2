#pragma once

#include "standins/caller/http_connection.hpp"
#include "standins/caller/report.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace masticgap::standins {

//! Service that callers send requests to, and the kind of these requests.
struct CallerService {
  std::string Name;
  bool Repeatable = true; //!< Sends GET if true, else POST with a key.
  double Weight = 1;      //!< Share of the requests, relative to the others.
};

//! Settings of one caller.
struct CallerSettings {
  std::vector<Endpoint> Lookups; //!< Entry hosts to query, tried in turn.
  //! Workers of each service that receive requests directly, without look-ups;
  //! used when not empty, to compare latencies.
  std::map<std::string, std::vector<Endpoint>> Direct;
  std::vector<CallerService> Services;
  std::string Source; //!< Local IP address; any if empty.
  std::chrono::milliseconds Length{20000};
  //! Mean of the exponential pause between two requests of one thread.
  std::chrono::microseconds Pause{10000};
  std::chrono::milliseconds Timeout{2000};
  double BareShare = 0;     //!< Share of keys without the key prefix of a host.
  unsigned MaxSends = 4;    //!< Limit of sends of a non-repeatable request.
  std::string Marker;       //!< Body of each POST request.
  bool LookupsOnly = false; //!< Sends look-ups and no other requests.
  std::uint64_t Seed = 1;
  std::string Name = "caller"; //!< Prefix of request ids, unique in a run.
};

//! Caller that caches look-ups, sends requests and checks that each answer
//! belongs to its request.
class Caller {
public:
  explicit Caller(CallerSettings Settings);

  //! Sends requests until the configured time has passed. Blocks the thread.
  CallerReport run();

private:
  struct Target {
    Endpoint Address;
    std::string KeyPrefix;
  };
  struct CachedLookup {
    std::vector<Target> Targets;
    std::chrono::steady_clock::time_point ExpiresAt;
  };

  const CallerService &drawService();
  const std::vector<Target> *targets(const std::string &Service);
  bool lookUp(const std::string &Service, CachedLookup &Entry);
  void sendRepeatable(const CallerService &Service);
  void sendNonRepeatable(const CallerService &Service);
  std::string attempt(const Target &To, const CallerService &Service,
                      const std::string &Key, const std::string &Id);
  bool matchesRequest(const transport::HttpResponse &Answer,
                      const std::string &Id, const std::string &Key) const;
  HttpConnection &connection(const Endpoint &To);

  CallerSettings Settings;
  std::mt19937_64 Random;
  std::map<Endpoint, std::unique_ptr<HttpConnection>> Connections;
  std::map<std::string, CachedLookup> Cache;
  std::size_t NextLookup = 0;
  std::uint64_t LastRequest = 0;
  CallerReport Report;
};

} // namespace masticgap::standins
