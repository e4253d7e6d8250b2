#include "entry/header_fields.hpp"

#include "entry/local_answer.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <string>
#include <vector>

namespace masticgap::entry {

namespace http = boost::beast::http;
using coordination::LoadReport;
using coordination::StoredAnswer;

namespace {

//! Bytes of the separator and the line end of a field.
constexpr std::uint64_t FieldOverhead = 4;
//! Estimated bytes of the first line and the empty line.
constexpr std::uint64_t HeadOverhead = 64;

bool parseUnsigned(std::string_view Text, unsigned &Value) {
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Failure == std::errc() && End == Text.data() + Text.size();
}

} // namespace

void removeHopByHop(http::fields &Fields) {
  std::vector<std::string> ConnectionFields;
  for (const auto &Each : http::token_list(Fields[http::field::connection]))
    ConnectionFields.emplace_back(Each.data(), Each.size());
  for (const std::string &Each : ConnectionFields)
    Fields.erase(Each);
  for (const http::field Each :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade})
    Fields.erase(Each);
}

http::request_header<> outgoingHead(const CallerRequest &Request,
                                    const Endpoint &To, bool Forwarded,
                                    Instant Now) {
  http::request_header<> Head = Request.Head;
  const bool HadBody = Head.count(http::field::content_length) > 0 ||
                       Head.count(http::field::transfer_encoding) > 0;
  removeHopByHop(Head);
  Head.erase(http::field::expect);
  Head.erase(ForwardedField);
  Head.version(11);
  Head.set(http::field::host, To.Address + ":" + std::to_string(To.Port));
  Head.set(RequestIdField, Request.Id.value());
  Head.set(DeadlineField,
           std::to_string(Request.Deadline.headerValue(Now).count()));
  if (Forwarded)
    Head.set(ForwardedField, "1");
  if (!Request.Streamed && HadBody)
    Head.set(http::field::content_length, std::to_string(Request.Body.size()));
  else if (Request.Streamed && Head.count(http::field::content_length) == 0)
    Head.set(http::field::transfer_encoding, "chunked");
  return Head;
}

std::uint64_t headBytes(const http::fields &Fields) {
  std::uint64_t Sum = HeadOverhead;
  for (const auto &Each : Fields)
    Sum += Each.name_string().size() + Each.value().size() + FieldOverhead;
  return Sum;
}

std::optional<LoadReport> parseWorkerLoad(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  LoadReport Load;
  if (Slash == std::string_view::npos ||
      !parseUnsigned(Text.substr(0, Slash), Load.InUse) ||
      !parseUnsigned(Text.substr(Slash + 1), Load.Slots))
    return std::nullopt;
  return Load;
}

StoredAnswer storedHead(const http::response_header<> &Head) {
  http::fields Kept = Head;
  removeHopByHop(Kept);
  StoredAnswer Stored;
  Stored.Status = Head.result_int();
  for (const auto &Each : Kept)
    Stored.Headers.emplace_back(std::string(Each.name_string()),
                                std::string(Each.value()));
  return Stored;
}

transport::HttpResponse replayAnswer(const StoredAnswer &Stored,
                                     http::verb Method) {
  transport::HttpResponse Answer;
  Answer.version(11);
  Answer.result(Stored.Status);
  for (const auto &[FieldName, Value] : Stored.Headers)
    Answer.insert(FieldName, Value);
  Answer.body() = Stored.Body;
  // An answer that was received in chunks has no Content-Length.
  const bool MayHaveBody = Method != http::verb::head && Stored.Status != 204 &&
                           Stored.Status != 304;
  if (MayHaveBody && Answer.count(http::field::content_length) == 0)
    Answer.content_length(Stored.Body.size());
  return Answer;
}

} // namespace masticgap::entry
