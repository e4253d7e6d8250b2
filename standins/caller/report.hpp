#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticgap::standins {

//! Last reported outcome of one non-repeatable request.
struct KeyRecord {
  std::string Key;
  std::string Service;
  std::string ReportedOutcome; //!< answered, not-run, unknown or none.
  unsigned Sends = 0;
};

//! Counts and latencies of one caller thread.
struct CallerReport {
  std::map<std::string, std::uint64_t> Outcomes;
  //! Requests that were not answered, by status and error text; for diagnosis.
  std::map<std::string, std::uint64_t> Reasons;
  std::uint64_t Lookups = 0;
  std::uint64_t FailedLookups = 0;
  std::uint64_t Broken = 0; //!< Connections that broke after sending began.
  std::uint64_t WrongAnswers = 0; //!< Answers that belong to another request.
  std::vector<double> LookupMs;
  std::vector<double> RequestMs;
  std::map<std::string, std::vector<double>> ServiceMs;
  std::vector<KeyRecord> Keys;

  //! Adds the counts and latencies of another report.
  void add(CallerReport Other);
  boost::json::object toJson() const;
};

} // namespace masticgap::standins
