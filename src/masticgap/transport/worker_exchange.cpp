#include "masticgap/transport/worker_exchange.hpp"

#include "masticgap/transport/hang_up_service.hpp"
#include "masticgap/transport/response_status.hpp"
#include "masticgap/transport/tcp_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using coordination::AttemptEnd;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxRefusalBytes = 1024;
//! A larger request body may not fit into the socket buffers, and a worker may
//! answer before it has read the body. The answer is therefore read while such
//! a body is sent.
constexpr std::size_t SmallBodyBytes = 1024;
//! Maximum number of answers to other requests that one exchange skips.
constexpr int MaxSkippedAnswers = 3;
constexpr std::size_t SkipBufferBytes = 64 * 1024;
//! Maximum size of the answers to other requests that one exchange skips.
constexpr std::uint64_t MaxSkippedBytes = 1024 * 1024;
//! Maximum number of interim answers (100 to 199) before a final one.
constexpr int MaxInterimAnswers = 8;
//! A connection that has carried more refusals is not reused, which bounds the
//! memory for their ids.
constexpr std::size_t MaxRefusals = 256;
//! Period of log lines about answers with an invalid status.
constexpr double StatusLineSeconds = 1;
//! An idle connection is closed this long before the worker would close it.
constexpr std::chrono::seconds IdleMargin{1};

//! Progress of a send that runs concurrently with reading the answer.
struct SendProgress {
  bool Done = false;
  beast::error_code Failure;
};

//! Returns the idle time-out in the Keep-Alive header, if there is one.
std::optional<std::chrono::seconds>
statedIdleLimit(const http::response_header<> &Head) {
  const auto Field = Head[http::field::keep_alive];
  const std::string_view Text(Field.data(), Field.size());
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = Text.find(Name);
  if (At == std::string_view::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const auto Digits = Text.substr(At + Name.size());
  const auto [End, Failure] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Failure != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

//! Returns whether the text contains a status line ("HTTP/1.1 200").
bool containsStatusLine(std::string_view Text) {
  constexpr std::string_view Protocol = "HTTP/1.";
  constexpr std::size_t Length = Protocol.size() + std::size("1 200") - 1;
  const auto IsDigit = [](char C) { return C >= '0' && C <= '9'; };
  for (std::size_t At = Text.find(Protocol); At != std::string_view::npos;
       At = Text.find(Protocol, At + 1)) {
    if (At + Length > Text.size())
      return false;
    const auto Rest = Text.substr(At + Protocol.size(), Length);
    if (IsDigit(Rest[0]) && Rest[1] == ' ' && IsDigit(Rest[2]))
      return true;
  }
  return false;
}

//! Returns whether the head contains a second status line. Such a head is the
//! beginning of one answer joined with another answer.
bool isJoined(const http::response_header<> &Head) {
  const auto Contains = [](boost::beast::string_view Text) {
    return containsStatusLine({Text.data(), Text.size()});
  };
  return Contains(Head.reason()) ||
         std::ranges::any_of(
             Head, [&](const auto &Field) { return Contains(Field.value()); });
}

} // namespace

WorkerExchange::WorkerExchange(WorkerConnectionPool &Pool,
                               std::function<Instant()> Clock,
                               ExchangeOptions Options)
    : Pool(Pool), Clock(std::move(Clock)), Options(Options) {}

WorkerExchange::~WorkerExchange() = default;

const http::response_header<> &WorkerExchange::head() const {
  return Answer->get().base();
}

std::optional<std::uint64_t> WorkerExchange::contentLength() const {
  const auto Length = Answer->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

void WorkerExchange::limitTime() {
  const Duration Remaining = Options.Deadline - Clock();
  Lease->connection().Stream.expires_after(std::max(Remaining, Duration(0)));
}

bool WorkerExchange::isOverdue() const { return Clock() >= Options.Deadline; }

AttemptEnd WorkerExchange::classify(beast::error_code Error, End DefaultEnd,
                                    const AttemptControl &Control) const {
  if (Control.isCancelled())
    return Sent == 0 ? End::ConnectFailed : End::Cancelled;
  if (Error == beast::error::timeout)
    return Sent == 0 ? End::ConnectFailed : End::TimedOut;
  return DefaultEnd;
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::start(WorkerTarget Target, const OutgoingRequest &Request,
                      AttemptControl &Control) {
  const bool HeadMethod = Request.Head.method() == http::verb::head;
  auto Ended = co_await open(std::move(Target), Control);
  if (Ended)
    co_return Ended;
  Connected = true;
  Control.attach(&Lease->connection().Stream);
  // Bytes wait in the kernel also after the send has ended.
  if (Request.More || Request.Body.size() > SmallBodyBytes)
    Guard.emplace(Lease->share());
  if (!Request.More && Request.Body.size() > SmallBodyBytes) {
    Ended = co_await sendAndReadHead(Request, Control);
    Control.detach();
    if (Ended && coordination::provedNotRun(*Ended) && !SendPending)
      co_await skipBody(Control);
    if (Ended)
      Lease.reset();
    else if (Answer->is_done())
      finish();
    co_return Ended;
  }
  const auto SendResult = co_await send(Request, Control);
  const bool MayHaveAnswer =
      !SendResult || (*SendResult == End::ConnectionLost && !SourceFailed);
  if (MayHaveAnswer)
    Ended = co_await readMatchingHead(
        Request.Head[Options.Dialect->RequestIdField], HeadMethod, Control);
  Control.detach();
  // A worker may answer a large request and end the connection before it has
  // read all of it.
  const bool HasAnswer =
      MayHaveAnswer && (!Ended || coordination::provedNotRun(*Ended));
  if (SendResult && !HasAnswer)
    Ended = SendResult;
  SendPending = SendResult.has_value();
  if (Ended && !SendResult && coordination::provedNotRun(*Ended))
    co_await skipBody(Control);
  if (Ended)
    Lease.reset();
  else if (Answer->is_done())
    finish();
  co_return Ended;
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::sendAndReadHead(const OutgoingRequest &Request,
                                AttemptControl &Control) {
  limitTime();
  // The send may be pending when the exchange ends, so its handler owns the
  // message and the connection.
  auto Message = std::make_shared<http::request<http::string_body>>(
      http::request_header<>(Request.Head), std::string(Request.Body));
  auto Progress = std::make_shared<SendProgress>();
  SendPending = true;
  Sent = Message->body().size();
  http::async_write(Lease->connection().Stream, *Message,
                    [Message, Progress, Kept = Lease->share()](
                        beast::error_code Failure, std::size_t) {
                      Progress->Done = true;
                      Progress->Failure = Failure;
                    });
  const auto Ended = co_await readMatchingHead(
      Request.Head[Options.Dialect->RequestIdField],
      Request.Head.method() == http::verb::head, Control);
  SendPending = !Progress->Done || Progress->Failure;
  co_return Ended;
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::readMatchingHead(std::string_view RequestId, bool HeadMethod,
                                 AttemptControl &Control) {
  for (int Skipped = 0;; ++Skipped) {
    const auto Failed = co_await readHead(HeadMethod, Control);
    if (Failed)
      co_return Failed;
    const auto Echo = head()[Options.Dialect->RequestIdField];
    const bool Mismatched =
        !Echo.empty() &&
        std::string_view(Echo.data(), Echo.size()) != RequestId;
    if (!Mismatched || !Options.Dialect->SkipMismatchedAnswers ||
        Skipped == MaxSkippedAnswers)
      co_return checkHead(RequestId, Skipped > 0);
    const bool Complete = co_await skipMismatchedAnswer(Control);
    if (!Complete)
      co_return End::ConnectionLost;
  }
}

asio::awaitable<bool>
WorkerExchange::skipMismatchedAnswer(AttemptControl &Control) {
  if (Answer->need_eof())
    co_return false;
  std::vector<char> Discarded(SkipBufferBytes);
  while (!Answer->is_done()) {
    if (Received > MaxSkippedBytes || isOverdue())
      co_return false;
    auto &Body = Answer->get().body();
    Body.data = Discarded.data();
    Body.size = Discarded.size();
    limitTime();
    const auto [Error, Bytes] = co_await http::async_read_some(
        Lease->connection().Stream, Lease->connection().Buffer, *Answer,
        AsTuple);
    Received += Bytes;
    if ((Error && Error != http::error::need_buffer) || Control.isCancelled())
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> WorkerExchange::skipBody(AttemptControl &Control) {
  // Refusals are frequent near full load and have short bodies. Reading the
  // body allows the connection to be reused.
  std::array<char, MaxRefusalBytes> Discarded{};
  co_await readSome(Discarded, Control);
  if (Lease && Answer->is_done())
    finish();
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::open(WorkerTarget Target, AttemptControl &Control) {
  const Duration Remaining = Options.Deadline - Clock();
  const auto Timeout =
      std::clamp(Remaining, Duration(0), Options.ConnectTimeout);
  auto Acquired = co_await Pool.acquire(std::move(Target), Options.Repeatable,
                                        Timeout, Control);
  if (auto *AcquiredLease =
          std::get_if<WorkerConnectionPool::Lease>(&Acquired)) {
    Lease.emplace(std::move(*AcquiredLease));
    Lease->connection().Buffer.max_size(
        std::max(Options.ReadUnit, MaxHeadBytes));
    co_return std::nullopt;
  }
  LimitReached =
      std::get<AcquireFailure>(Acquired) == AcquireFailure::LimitReached;
  co_return End::ConnectFailed;
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::send(const OutgoingRequest &Request, AttemptControl &Control) {
  limitTime();
  beast::error_code Error;
  if (Request.More)
    Error = co_await sendStreamed(Request);
  else
    Error = co_await sendBuffered(Request);
  if (!Error)
    co_return std::nullopt;
  if (SourceFailed)
    co_return Sent == 0 ? End::ConnectFailed : End::Cancelled;
  const End DefaultEnd = Sent == 0 ? End::ConnectFailed : End::ConnectionLost;
  co_return classify(Error, DefaultEnd, Control);
}

asio::awaitable<beast::error_code>
WorkerExchange::sendBuffered(const OutgoingRequest &Request) {
  http::request<http::span_body<const char>> Message(
      http::request_header<>(Request.Head));
  Message.body() = {Request.Body.data(), Request.Body.size()};
  const auto [Error, Bytes] =
      co_await http::async_write(Lease->connection().Stream, Message, AsTuple);
  Sent += Bytes;
  co_return Error;
}

asio::awaitable<beast::error_code>
WorkerExchange::sendStreamed(const OutgoingRequest &Request) {
  http::request<http::buffer_body> Message(
      http::request_header<>(Request.Head));
  http::request_serializer<http::buffer_body> Serializer(Message);
  RequestPart Part{Request.Body, false, false};
  auto &Stream = Lease->connection().Stream;
  // A worker that ended its side has sent its whole answer, if any, so that
  // nothing depends on the rest of the request. It may never read that rest.
  bool WorkerClosed = false;
  const HangUpWatch Watch(Stream.socket(), [&] {
    WorkerClosed = true;
    Stream.cancel();
  });
  while (true) {
    // The serializer only reads from the buffer, so the const_cast is safe. It
    // writes an empty buffer as a chunk without data, which would end the body.
    Message.body().data =
        Part.Bytes.empty() ? nullptr : const_cast<char *>(Part.Bytes.data());
    Message.body().size = Part.Bytes.size();
    Message.body().more = !Part.Last;
    limitTime();
    const auto [Error, Bytes] =
        co_await http::async_write(Stream, Serializer, AsTuple);
    Sent += Bytes;
    if (Error && Error != http::error::need_buffer)
      co_return Error;
    if (Part.Last)
      co_return beast::error_code();
    if (!WorkerClosed)
      Part = co_await Request.More();
    SourceFailed = Part.Failed && !WorkerClosed;
    if (SourceFailed || WorkerClosed)
      co_return asio::error::make_error_code(asio::error::operation_aborted);
  }
}

asio::awaitable<std::optional<AttemptEnd>>
WorkerExchange::readHead(bool HeadMethod, AttemptControl &Control) {
  for (int Interim = 0; Interim <= MaxInterimAnswers; ++Interim) {
    if (isOverdue())
      co_return classify(beast::error::timeout, End::TimedOut, Control);
    Answer.emplace();
    Answer->header_limit(MaxHeadBytes);
    Answer->body_limit(boost::none);
    Answer->skip(HeadMethod);
    limitTime();
    const auto [Error, Bytes] = co_await http::async_read_header(
        Lease->connection().Stream, Lease->connection().Buffer, *Answer,
        AsTuple);
    Received += Bytes;
    if (Error)
      co_return classify(Error, End::ConnectionLost, Control);
    const unsigned Status = Answer->get().result_int();
    if (Status / 100 == 1 && Status != SwitchingProtocols)
      continue;
    // Before any other field is read: a refusal in such an answer proves
    // nothing.
    if (!isFinalStatus(Status)) {
      LOG_EVERY_T(WARNING, StatusLineSeconds)
          << "a worker answered with the invalid status " << Status;
      co_return End::Truncated;
    }
    Leaving = Leaving ||
              (Options.Dialect->Leaving && Options.Dialect->Leaving(head()));
    co_return std::nullopt;
  }
  co_return End::ConnectionLost;
}

std::optional<AttemptEnd> WorkerExchange::checkHead(std::string_view RequestId,
                                                    bool AfterSkipped) {
  const auto &Head = Answer->get().base();
  // An answer with the id of another request belongs to that request. On a
  // reused connection, or after an answer to another request, one without an id
  // may belong to an earlier request as well.
  const auto Echo = Head[Options.Dialect->RequestIdField];
  const std::string_view EchoText(Echo.data(), Echo.size());
  const bool IdRequired = Lease->connection().Reused || AfterSkipped;
  if (EchoText.empty() ? IdRequired : EchoText != RequestId)
    return End::ConnectionLost;
  if (isJoined(Head))
    return End::ConnectionLost;
  if (const auto Refusal = Options.Dialect->Refusal(Head)) {
    // A second refusal of the same id may be a copy of the first, sent before
    // the worker read this request.
    auto &Refused = Lease->connection().RefusedIds;
    const std::size_t Hash = std::hash<std::string_view>()(RequestId);
    if (std::ranges::find(Refused, Hash) != Refused.end())
      return End::ConnectionLost;
    Refused.push_back(Hash);
    return Refusal;
  }
  if (Options.Dialect->AllowUnframedAnswers)
    return std::nullopt;
  // An answer without a length ends with its connection and cannot be
  // distinguished from a truncated one.
  if (Answer->need_eof())
    return End::Truncated;
  return std::nullopt;
}

asio::awaitable<std::size_t> WorkerExchange::readSome(std::span<char> Into,
                                                      AttemptControl &Control) {
  auto &Body = Answer->get().body();
  std::size_t BodyBytes = 0;
  while (BodyBytes == 0 && !Answer->is_done()) {
    // A read of bytes that have already arrived does not time out.
    if (isOverdue()) {
      Failure = classify(beast::error::timeout, End::TimedOut, Control);
      Lease.reset();
      co_return 0;
    }
    Body.data = Into.data();
    Body.size = Into.size();
    limitTime();
    Control.attach(&Lease->connection().Stream);
    auto [Error, Bytes] = co_await http::async_read_some(
        Lease->connection().Stream, Lease->connection().Buffer, *Answer,
        AsTuple);
    Control.detach();
    Received += Bytes;
    BodyBytes = Into.size() - Body.size;
    if (Error == http::error::need_buffer)
      Error = {};
    if (Error || Control.isCancelled() || isCutOff()) {
      Failure = classify(Error, End::Truncated, Control);
      Lease.reset();
      co_return 0;
    }
  }
  if (Answer->is_done())
    finish();
  co_return BodyBytes;
}

bool WorkerExchange::isCutOff() {
  if (!Answer->is_done() || !Answer->need_eof())
    return false;
  auto &Stream = Lease->connection().Stream;
  return !Stream.socket().is_open() ||
         !peerClosedInOrder(Stream.socket().native_handle(),
                            Stream.rate_policy().bytesRead());
}

void WorkerExchange::finish() {
  Done = true;
  Guard.reset();
  // The next answer on the connection must be distinguishable from a late
  // answer to this request, so a connection is not reused unless the worker
  // echoes request ids.
  const bool EchoesRequestId = !head()[Options.Dialect->RequestIdField].empty();
  const bool Reusable = EchoesRequestId && Answer->get().keep_alive() &&
                        !SendPending && !Leaving && !Answer->need_eof() &&
                        Lease->connection().Buffer.size() == 0 &&
                        Lease->connection().RefusedIds.size() < MaxRefusals;
  if (const auto IdleLimit = statedIdleLimit(head()))
    Lease->connection().Health.limitIdle(*IdleLimit - IdleMargin);
  if (Reusable)
    Lease->keep(Clock());
  Lease.reset();
}

} // namespace masticgap::transport
