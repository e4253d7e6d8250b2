#pragma once

#include "entry/settings.hpp"
#include "gateway/account_exchange.hpp"
#include "gateway/crash_detector.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/metrics.hpp"
#include "gateway/platform_api.hpp"
#include "gateway/settings.hpp"
#include "gateway/traffic_account.hpp"
#include "masticgap/coordination/admission/account_shares.hpp"
#include "masticgap/coordination/admission/buffer_budget.hpp"
#include "masticgap/coordination/admission/caller_patience.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/coordination/traffic_split/split_schedule.hpp"
#include "masticgap/transport/caller_registry.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string_view>

namespace masticgap::gateway {

//! State shared by the parts of one gateway. It is used by one thread only.
class GatewayState {
public:
  GatewayState(boost::asio::io_context &Io, const GatewaySettings &Settings,
               const WireFormat &Wire, std::uint64_t Seed);

  Instant now() const;
  std::uint64_t configVersion() const { return Config ? Config->Version : 0; }
  //! Makes a configuration the current one.
  void adopt(std::shared_ptr<const TrafficConfig> New);
  //! Logs and counts a connection of a caller that ends without an answer to a
  //! request of which bytes were received.
  //! \param RequestId empty if the head of the request was not read.
  //! \param Reason label of the counter.
  //! \param Detail more about the reason; may be empty.
  void recordUnanswered(std::string_view RequestId, std::string_view Reason,
                        std::string_view Detail = {});

  //! Returns memory to the operating system after callers have released much.
  void giveBackMemory();

  boost::asio::io_context &Io;
  const GatewaySettings &Settings;
  const WireFormat &Wire;
  //! Connection limits from the settings and the current configuration.
  entry::EntryLimits Limits;
  DecisionLog Log;
  Metrics Stats;
  TrafficAccount Network;
  std::mt19937_64 Random;
  std::shared_ptr<const TrafficConfig> Config; //!< Null until one is read.
  coordination::Dispatcher Dispatch;
  //! Remaining times that callers state; used while the configuration has
  //! accounts.
  coordination::CallerPatience Patience;
  //! Shares of the accounts' requests that admission accepted; used likewise.
  coordination::AccountShares Shares;
  coordination::SplitSchedule Splits;
  transport::WorkerConnectionPool Connections;
  CrashDetector Crashes;
  AccountExchange AccountLimits;
  LoadExchange Loads;
  //! Number of requests in progress. It is shared because the io_context
  //! destroys the remaining requests after this object.
  std::shared_ptr<unsigned> InFlight = std::make_shared<unsigned>(0);
  //! Memory that callers make the process hold; shared for the same reason.
  std::shared_ptr<coordination::BufferBudget> Buffers;
  //! Accounts of the connections to the ports for callers.
  std::shared_ptr<transport::CallerRegistry> CallerAccounts;
  //! Latest deadline of a request that arrives during a planned stop; unset
  //! before it.
  std::optional<Instant> StopAt;

private:
  void recordClosedCaller(transport::CallerRegistry::Shortage Reason,
                          const transport::CallerRegistry::Victim &Closed);

  Instant NextClosedLine;     //!< Earliest time of the next line about them.
  unsigned ClosedCallers = 0; //!< Not logged yet.
};

} // namespace masticgap::gateway
