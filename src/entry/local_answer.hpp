#pragma once

#include "entry/caller_request.hpp"
#include "masticgap/state/outcome.hpp"
#include "masticgap/transport/http_types.hpp"

#include <cstdint>
#include <string>

namespace masticgap::entry {

//! Answer that the entry host gives itself.
struct Refusal {
  boost::beast::http::status Status =
      boost::beast::http::status::service_unavailable;
  std::string Kind;
  std::string Message; //!< Names the remedy.
  Outcome ReportedOutcome = Outcome::NotRun;
};

//! Names of the headers between callers, entry hosts and workers.
inline constexpr const char *RequestIdField = "Masticgap-Request-Id";
inline constexpr const char *OutcomeField = "Masticgap-Outcome";
inline constexpr const char *WorkerField = "Masticgap-Worker";
inline constexpr const char *ConfigVersionField = "Masticgap-Config-Version";
inline constexpr const char *DeadlineField = "Masticgap-Deadline-Ms";
inline constexpr const char *ForwardedField = "Masticgap-Forwarded";
inline constexpr const char *KeyField = "Idempotency-Key";

//! Sets request id, outcome and configuration version of an answer.
void setMasticgapFields(boost::beast::http::fields &Fields, const RequestId &Id,
                        Outcome ReportedOutcome, std::uint64_t ConfigVersion);

//! Makes the HTTP answer of a refusal.
transport::HttpResponse localAnswer(const CallerRequest &Request,
                                    const Refusal &Refused,
                                    std::uint64_t ConfigVersion);

} // namespace masticgap::entry
