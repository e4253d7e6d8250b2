#pragma once

#include "masticgap/coordination/config_action.hpp"
#include "masticgap/coordination/config_event.hpp"
#include "masticgap/state/time.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::coordination {

//! Intervals and time limits of a ConfigFollower.
struct ConfigFollowerTimes {
  //! Time between two polls of a reader, with a jitter of up to 10 % either
  //! way.
  Duration PollInterval = std::chrono::milliseconds(500);
  //! Longest time between two polls during a store outage.
  Duration MaxBackoff = std::chrono::seconds(5);
  //! Time before a failed fetch is retried, from another peer if possible.
  Duration FetchRetry = std::chrono::milliseconds(200);
  //! Age of the last confirmation beyond which the host reports itself cut off.
  Duration CutOffAfter = std::chrono::seconds(10);
};

//! Configuration part of a host's health report.
struct ConfigHealth {
  std::uint64_t Version = 0;     //!< 0: none yet, look-ups answer 503.
  std::uint64_t NewestKnown = 0; //!< Newest version reported by peers or tools.
  bool Reader = false;           //!< Polls the store for its failure domain.
  bool StoreReachable = false;   //!< The last read of the row was answered.
  //! Neither the store nor a peer confirmed the version recently.
  bool CutOff = false;
};

//! Keeps an entry host's configuration at the newest accepted version.
//!
//! The version never decreases. Each ReadConfigRow and FetchConfig must be
//! answered by one event, also after a time-out; at most one of each is open.
class ConfigFollower {
public:
  class Builder;

  //! Handles one event.
  //! \returns the actions to take, in order.
  std::vector<ConfigAction> handle(const ConfigEvent &Event, Instant Now);

  //! Returns the document in force; null until the first one is accepted.
  const ConfigDocument *current() const { return Document.get(); }
  std::shared_ptr<const ConfigDocument> shared() const { return Document; }

  //! Returns the time at which the next ConfigTick is due; Instant::max() if
  //! only another event can lead to an action. Each event may change it.
  Instant nextTick() const;

  ConfigHealth health(Instant Now) const;

private:
  ConfigFollower() = default;

  void on(const ConfigTick &, Instant Now);
  void on(const ConfigMembersChanged &E, Instant Now);
  void on(const PeerConfigVersion &E, Instant Now);
  void on(const ConfigNotified &E, Instant Now);
  void on(const ConfigStoreAnswered &E, Instant Now);
  void on(const ConfigDocumentReceived &E, Instant Now);
  void on(const ConfigFetchFailed &E, Instant Now);

  void onRow(const StoreRow &Row, Instant Now);
  void onReadLost(Instant Now);
  void onFetchEnd(bool Advanced, Instant Now);
  //! Accepts a document with a newer version. Reports one that is invalid,
  //! older, or has the local version with another change id.
  //! \returns its version; 0 if it is invalid or has the local version with
  //! another change id.
  std::uint64_t processDocument(std::string_view Json,
                                const std::string &Source, Instant Now);
  void accept(ConfigDocument New, Instant Now);
  void readIfDue(Instant Now);
  void fetchIfDue(Instant Now);
  void report(ErrorKind Kind, std::string Message, std::string Remedy);
  bool wantsStore() const;
  std::uint64_t newestKnown() const;
  std::vector<HostId> peersToAsk() const;
  std::uint64_t version() const { return Document ? Document->Version : 0; }
  Duration jittered(Duration D);

  HostId Self;
  FailureDomainName Domain;
  ConfigFollowerTimes Times;
  std::mt19937_64 Random;

  std::shared_ptr<const ConfigDocument> Document;
  bool Reader = true; //!< True until the list of live hosts is known.
  std::map<HostId, std::uint64_t> PeerVersions;
  std::uint64_t Notified = 0;
  unsigned NotifiedReads = 0; //!< Reads that the notice may still cause.
  bool StoreReachable = false;
  std::optional<Instant> Confirmed;

  std::uint64_t LastCallId = 0;
  std::uint64_t OpenReadCall = 0;     //!< Call id; 0: none.
  bool ReadAgain = false;             //!< A notice arrived during a read.
  std::uint64_t ParsedRowVersion = 0; //!< Row version that was parsed last.
  std::uint64_t ParsedVersion = 0;    //!< Version of the document in that row.
  Instant NextRead{};
  Duration Backoff{0};

  std::uint64_t OpenFetchCall = 0; //!< Call id; 0: none.
  HostId FetchPeer;
  std::set<HostId> FailedPeers; //!< Peers that failed since the last success.
  bool PeersExhausted = false;  //!< All peers failed: read the store instead.
  Instant NextFetch{};

  std::set<std::string> Reported;
  std::vector<ConfigAction> Actions;
};

//! Builds a ConfigFollower.
class ConfigFollower::Builder {
public:
  Builder(HostId Self, FailureDomainName Domain);

  //! Sets the seed of the jitter, which should differ between hosts.
  Builder &seed(std::uint64_t Seed);
  Builder &times(const ConfigFollowerTimes &Times);
  ConfigFollower build() const;

private:
  HostId Self;
  FailureDomainName Domain;
  std::uint64_t Seed = 0;
  ConfigFollowerTimes Times;
};

} // namespace masticgap::coordination
