#pragma once

#include "entry/steering_snapshot.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/http_server.hpp"

#include <functional>
#include <random>

namespace masticgap::entry {

//! Answers look-ups from the current snapshot. Used by one thread only.
class LookupService {
public:
  //! \param LocalKeyPrefix returns the key prefix of this host at a given time.
  LookupService(std::function<std::string(Instant)> LocalKeyPrefix,
                std::uint64_t Seed);

  void publish(SnapshotPtr NewSnapshot) { Snapshot = std::move(NewSnapshot); }

  //! Answers GET /lookup?service=S[&client=IP].
  transport::HttpResponse handle(const transport::HttpRequest &Request,
                                 Instant Now);

private:
  std::string body(const ServiceName &Service,
                   const coordination::SteeringTargets &Targets, Instant Now);
  std::string keyPrefix(const EntryHostDescriptor &Host, Instant Now) const;

  std::function<std::string(Instant)> LocalKeyPrefix;
  std::mt19937_64 Random;
  SnapshotPtr Snapshot;
};

} // namespace masticgap::entry
