#include "entry/local_answer.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace masticgap::entry {

namespace http = boost::beast::http;

void setMasticgapFields(http::fields &Fields, const RequestId &Id,
                        Outcome ReportedOutcome, std::uint64_t ConfigVersion) {
  const std::string_view Text = toString(ReportedOutcome);
  Fields.set(RequestIdField, Id.value());
  Fields.set(OutcomeField, {Text.data(), Text.size()});
  Fields.set(ConfigVersionField, std::to_string(ConfigVersion));
}

transport::HttpResponse localAnswer(const CallerRequest &Request,
                                    const Refusal &Refused,
                                    std::uint64_t ConfigVersion) {
  transport::HttpResponse Answer(Refused.Status, Request.Head.version());
  const auto Connection = Request.Head[http::field::connection];
  Answer.keep_alive(Request.Head.version() == 11 &&
                    !http::token_list(Connection).exists("close"));
  setMasticgapFields(Answer, Request.Id, Refused.ReportedOutcome,
                     ConfigVersion);
  Answer.set(http::field::content_type, "application/json");
  if (Refused.Status == http::status::service_unavailable)
    Answer.set(http::field::retry_after, "1");
  boost::json::object Body;
  Body["error"] = Refused.Kind;
  Body["message"] = Refused.Message;
  Answer.body() = boost::json::serialize(Body);
  Answer.prepare_payload();
  if (Request.Head.method() == http::verb::head)
    Answer.body().clear();
  return Answer;
}

} // namespace masticgap::entry
