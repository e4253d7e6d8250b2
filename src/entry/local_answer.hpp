#pragma once

#include "entry/caller_request.hpp"
#include "masticgap/state/outcome.hpp"
#include "masticgap/transport/http_types.hpp"

#include <cstdint>
#include <string>

namespace masticgap::entry {

//! Error answer that the entry host generates itself.
struct Refusal {
  boost::beast::http::status Status =
      boost::beast::http::status::service_unavailable;
  std::string Kind;
  std::string Message; //!< States the cause and the remedy.
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

//! Sets the headers for request id, outcome and configuration version.
void setMasticgapFields(boost::beast::http::fields &Fields, const RequestId &Id,
                        Outcome ReportedOutcome, std::uint64_t ConfigVersion);

//! Returns the HTTP answer for a refusal.
transport::HttpResponse localAnswer(const CallerRequest &Request,
                                    const Refusal &Refused,
                                    std::uint64_t ConfigVersion);

} // namespace masticgap::entry
