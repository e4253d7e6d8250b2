#include "entry/answer_relay.hpp"

#include "entry/header_fields.hpp"
#include "entry/local_answer.hpp"

#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using coordination::AttemptEnd;
using coordination::StoredAnswer;
using transport::AttemptControl;
using transport::WorkerExchange;

namespace {

//! Size of the buffer between worker and caller.
constexpr std::size_t RelayBufferBytes = 32 * 1024;

} // namespace

AnswerRelay::AnswerRelay(CallerConnection &Caller, const CallerRequest &Request,
                         AnswerOrigin Origin, bool KeepAnswer)
    : Caller(Caller), Request(Request), Origin(std::move(Origin)),
      KeepAnswer(KeepAnswer) {}

void AnswerRelay::setFields(http::fields &Fields) const {
  if (Origin.FromPeer)
    return;
  setMasticgapFields(Fields, Request.Id, Outcome::Answered,
                     Origin.ConfigVersion);
  Fields.set(WorkerField, Origin.Worker);
}

http::response_header<>
AnswerRelay::streamedHead(const WorkerExchange &Exchange) const {
  http::response_header<> Head = Exchange.head();
  removeHopByHop(Head);
  setFields(Head);
  Head.version(Request.Head.version());
  // An HTTP/1.0 caller detects the end of an answer without a length by the
  // closing of the connection.
  const bool Close = !Caller.keepsAlive() ||
                     (!Exchange.contentLength() && Head.version() < 11);
  if (Close)
    Head.set(http::field::connection, "close");
  else if (Head.version() < 11)
    Head.set(http::field::connection, "keep-alive");
  if (!Exchange.contentLength() && Head.version() >= 11)
    Head.set(http::field::transfer_encoding, "chunked");
  return Head;
}

void AnswerRelay::collect(std::span<const char> Bytes) {
  if (!CollectFirst && !KeepAnswer)
    return;
  Overflow = Overflow || Collected.Body.size() + Bytes.size() > CollectLimit;
  if (Overflow)
    Collected.Body.clear();
  else
    Collected.Body.append(Bytes.data(), Bytes.size());
}

asio::awaitable<AttemptEnd> AnswerRelay::run(WorkerExchange &Exchange,
                                             LinkMeter &Meter,
                                             AttemptControl &Control) {
  const auto Length = Exchange.contentLength();
  CollectFirst = Exchange.isDone() || (Length && *Length <= CollectLimit);
  Collected = storedHead(Exchange.head());
  if (!CollectFirst) {
    Started = true;
    http::response_header<> Head = streamedHead(Exchange);
    CallerGone = !co_await Caller.writeHead(std::move(Head));
  }
  const auto Failure = co_await readBody(Exchange, Meter, Control);
  Meter.received(Exchange.bytesReceived());
  if (Failure)
    co_return *Failure;
  if (CollectFirst)
    co_await sendCollected();
  co_return End::Answered;
}

asio::awaitable<std::optional<AttemptEnd>>
AnswerRelay::readBody(WorkerExchange &Exchange, LinkMeter &Meter,
                      AttemptControl &Control) {
  Buffer.resize(RelayBufferBytes);
  bool Last = Exchange.isDone();
  while (!Last) {
    const bool Allowed = co_await Meter.mayRead(Exchange.bytesReceived());
    if (!Allowed)
      co_return End::TimedOut;
    const std::size_t BytesRead = co_await Exchange.readSome(Buffer, Control);
    Last = Exchange.isDone();
    if (BytesRead == 0 && !Last)
      co_return Exchange.failure();
    const std::span<const char> Bytes(Buffer.data(), BytesRead);
    collect(Bytes);
    if (!CollectFirst && !CallerGone)
      CallerGone = !co_await Caller.writePart(Bytes, Last);
    if (CallerGone && !KeepAnswer)
      co_return End::Cancelled;
  }
  co_return std::nullopt;
}

asio::awaitable<void> AnswerRelay::sendCollected() {
  Started = true;
  transport::HttpResponse Answer =
      replayAnswer(Collected, Request.Head.method());
  Answer.version(Request.Head.version());
  Answer.keep_alive(Caller.keepsAlive());
  setFields(Answer);
  CallerGone = !co_await Caller.write(std::move(Answer));
}

std::optional<StoredAnswer> AnswerRelay::takeKept() {
  if (!KeepAnswer || Overflow)
    return std::nullopt;
  return std::move(Collected);
}

} // namespace masticgap::entry
