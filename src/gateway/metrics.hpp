#pragma once

#include "masticgap/state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgap::gateway {

//! Stages of a request whose latency is measured.
enum class Stage {
  Request, //!< From arrival to answer, exported as "whole".
  Worker   //!< One exchange with a worker.
};

//! Outcome of a request of an account.
enum class AccountOutcome {
  Served,       //!< A worker's answer was forwarded.
  Refused,      //!< Not run: no capacity, no worker, no time.
  Limited,      //!< Not run: above the account's limit.
  Unauthorized, //!< Not run: no known key, so that the account is unknown.
  Failed        //!< The answer was lost, or the caller left.
};

//! Counters and latency histograms of one gateway, exported in the Prometheus
//! text format. Label values are route names and fixed words. Routes of earlier
//! configurations remain, so the number of series is limited.
class Metrics {
public:
  static constexpr std::size_t AccountOutcomes = 5;
  //! Requests of one account at this host.
  struct AccountTotals {
    //! Requests by AccountOutcome.
    std::array<std::uint64_t, AccountOutcomes> Outcomes{};
    //! Requests that the gateway answered itself, by reason.
    std::map<std::string, std::uint64_t, std::less<>> Reasons;

    std::uint64_t of(AccountOutcome Outcome) const {
      return Outcomes.at(static_cast<std::size_t>(Outcome));
    }
  };

  Metrics();
  ~Metrics();

  //! Adds to a counter.
  //! \param Label value of the label "kind".
  void count(std::string_view Name, std::string_view Label,
             std::uint64_t Number = 1);
  //! Counts a request of an account. The series of at most 256 accounts are
  //! kept; requests of others are counted as "other".
  //! \param Account empty if it is unknown.
  //! \param Reason why the gateway answered itself; empty if it did not.
  void countAccount(std::string_view Account, AccountOutcome Outcome,
                    std::string_view Reason = {});
  //! Returns the totals of an account; null if it has none of its own.
  const AccountTotals *account(std::string_view Account) const;
  //! Adds a latency to the histogram of a stage and route.
  void observe(Stage Where, std::string_view Route, Duration Latency);

  //! Returns all metrics in the Prometheus text format.
  //! \param Gauges current values by name.
  std::string
  text(const std::vector<std::pair<std::string, double>> &Gauges) const;

private:
  struct Series;
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  std::map<std::pair<Stage, std::string>, Series> Latencies;
  std::map<std::string, AccountTotals, std::less<>> Accounts;
};

} // namespace masticgap::gateway
