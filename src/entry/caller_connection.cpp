#include "entry/caller_connection.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using transport::HttpResponse;
using transport::RequestPart;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBytes = 16 * 1024;
//! Buffer of a connection that waits for a request; holds a usual head.
constexpr std::size_t IdleReadBytes = 1024;
//! Maximum number of unread request bytes that are discarded before closing.
constexpr std::size_t MaxSkippedBytes = 1024 * 1024;
constexpr std::chrono::seconds SkipTimeout{2};
//! Copies of a head while a worker serves its request: of the request, of the
//! message to the worker, and of the message that is being sent.
constexpr std::size_t HeadCopies = 3;
//! Maximum size of pipelined requests that are read while one is served.
constexpr std::size_t MaxReadAheadBytes = 16 * 1024;

ReadFailure classify(beast::error_code Error) {
  if (Error == http::error::body_limit || Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return ReadFailure::TooLarge;
  const bool FromParser =
      Error.category() ==
      http::make_error_code(http::error::bad_method).category();
  const bool Ended = Error == http::error::end_of_stream ||
                     Error == http::error::partial_message;
  return FromParser && !Ended ? ReadFailure::Malformed : ReadFailure::Closed;
}

} // namespace

CallerConnection::CallerConnection(Tcp::socket Socket,
                                   const EntryLimits &Limits)
    : Stream(std::move(Socket)), Limits(Limits),
      IdleTimer(Stream.get_executor()) {}

asio::awaitable<std::optional<ReadFailure>> CallerConnection::readHead() {
  Parser.emplace();
  Parser->header_limit(Limits.MaxHeaderBytes);
  Parser->body_limit(Limits.MaxBodyBytes);
  // Ends chunk extensions and trailers without end.
  Buffer.max_size(std::max<std::size_t>(Buffer.size(), Limits.MaxHeaderBytes) +
                  MaxReadAheadBytes + ReadBytes);
  Serializer.reset();
  Answer.reset();
  PartBuffer = {};
  LastAnswerKeptAlive = true;
  HeadMemory = 0;
  BodyBytes = 0;
  BodyWait = Duration(0);
  // An idle connection holds only IdleReadBytes.
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  if (Account) {
    Account->noteReserved(0);
    Account->setServed(false);
    Account->progress();
  }
  holdBuffers();
  // IdleTimeout applies between requests, ReceiveTimeout within a head.
  while (Buffer.size() == 0) {
    startIdleTimer();
    const auto [Error, Bytes] =
        co_await Stream.async_read_some(Buffer.prepare(IdleReadBytes), AsTuple);
    stopIdleTimer();
    // Bytes that have arrived meanwhile are read in the next round.
    if (Error == asio::error::operation_aborted && peek() > 0)
      continue;
    if (Error || Evicted)
      co_return ReadFailure::Closed;
    Buffer.commit(Bytes);
  }
  Busy = true;
  if (Account)
    Account->progress();
  const auto Error = co_await readWholeHead();
  if (Error)
    co_return classify(Error);
  const bool HasMemory = holdBuffers();
  if (Evicted)
    co_return ReadFailure::Closed;
  if (!HasMemory)
    co_return ReadFailure::NoMemory;
  ExpectsContinue =
      beast::iequals(Parser->get()[http::field::expect], "100-continue");
  // The end of such a body is not known, and its bytes could be taken for the
  // next request.
  if (Parser->get().count(http::field::transfer_encoding) > 0 &&
      !Parser->chunked())
    co_return ReadFailure::Malformed;
  co_return std::nullopt;
}

asio::awaitable<beast::error_code> CallerConnection::readWholeHead() {
  Stream.expires_after(Limits.ReceiveTimeout);
  // Fields are parsed when the head is complete. Until then it is in the
  // buffer only, which is counted after each part.
  Parser->eager(false);
  while (!Parser->is_header_done()) {
    const auto [Error, Bytes] =
        co_await http::async_read_some(Stream, Buffer, *Parser, AsTuple);
    if (Error)
      co_return Error;
    if (Parser->is_header_done())
      HeadMemory = Account ? transport::memoryOf(Parser->get()) : 0;
    if (!holdBuffers())
      break;
    if (Account)
      Account->received(Bytes);
  }
  co_return beast::error_code();
}

bool CallerConnection::holdBuffers() {
  // A body is read through a buffer of ReadBytes, which is also the size of its
  // first part.
  const bool HasBody = HeadMemory > 0 && !Parser->is_done();
  return !Account || Account->hold(Buffer.capacity() + HeadMemory +
                                   (HasBody ? 2 * ReadBytes : 0));
}

bool CallerConnection::beginService() {
  if (!Account)
    return true;
  // The first part of an answer has the size of ReadBytes.
  if (!Account->hold(Buffer.capacity() + HeadCopies * HeadMemory +
                     2 * ReadBytes))
    return false;
  if (!Evicted)
    Account->setServed(true);
  return !Evicted;
}

void CallerConnection::beginWrite() {
  // From now on only the caller can cause a wait.
  if (Account) {
    Account->setServed(false);
    Account->progress();
  }
}

void CallerConnection::endWrite() {
  if (Account)
    Account->progress();
}

void CallerConnection::evict() {
  Evicted = true;
  // A worker has the beginning of the request, so that the caller is told that
  // its outcome is unknown. A reset would also discard a response that an idle
  // caller has not read yet.
  if (AwaitsBodyPart)
    Stream.cancel();
  else if (Busy)
    abort();
  else
    close();
}

void CallerConnection::startIdleTimer() {
  // The timer of the stream closes the socket, and drops bytes of a read that
  // has completed, but whose handler has not run.
  Stream.expires_never();
  IdleTimer.expires_after(Limits.IdleTimeout);
  IdleTimer.async_wait([WeakSelf = weak_from_this(),
                        Period = ++IdlePeriod](beast::error_code Error) {
    const auto Self = WeakSelf.lock();
    // This handler may have been queued before the period ended.
    if (!Error && Self && Self->IdlePeriod == Period)
      Self->Stream.cancel();
  });
}

void CallerConnection::stopIdleTimer() {
  ++IdlePeriod;
  IdleTimer.cancel();
}

const http::request_header<> &CallerConnection::head() const {
  return Parser->get().base();
}

http::request_header<> CallerConnection::takeHead() {
  return std::move(Parser->get().base());
}

bool CallerConnection::isTooSlow() const {
  if (Limits.MinBodyRate == 0 || BodyWait <= Limits.ReceiveTimeout)
    return false;
  const double Seconds = std::chrono::duration<double>(BodyWait).count();
  return static_cast<double>(BodyBytes) < Limits.MinBodyRate * Seconds;
}

asio::awaitable<beast::error_code>
CallerConnection::readSome(std::span<char> Into, std::size_t &BytesRead) {
  auto &Body = Parser->get().body();
  Body.data = Into.data();
  Body.size = Into.size();
  // Otherwise the body would be read in units of the buffer for the head.
  Buffer.reserve(ReadBytes);
  Stream.expires_after(Limits.ReceiveTimeout);
  const Instant Before = transport::now();
  const auto [Error, Bytes] =
      co_await http::async_read_some(Stream, Buffer, *Parser, AsTuple);
  BytesRead = Into.size() - Body.size;
  BodyBytes += BytesRead;
  BodyWait += transport::now() - Before;
  if (Account)
    Account->received(BytesRead);
  co_return Error == http::error::need_buffer ? beast::error_code() : Error;
}

asio::awaitable<std::optional<ReadFailure>>
CallerConnection::readBody(std::string &Body,
                           coordination::BufferReservation *Memory) {
  if (ExpectsContinue) {
    const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    Stream.expires_after(Limits.SendTimeout);
    co_await asio::async_write(Stream, asio::buffer(Continue), AsTuple);
  }
  while (!Parser->is_done() && Body.size() < Limits.BufferedBodyBytes) {
    const std::size_t Before = Body.size();
    const std::size_t Part =
        std::min<std::size_t>(Limits.BufferedBodyBytes - Before, ReadBytes);
    if (!Memory)
      Body.resize(Before + Part);
    else if (!coordination::extendBuffer(Body, Part, *Memory))
      co_return ReadFailure::NoMemory;
    if (Account && Memory)
      Account->noteReserved(Memory->size());
    if (Evicted)
      co_return ReadFailure::Closed;
    std::size_t BytesRead = 0;
    const auto Error =
        co_await readSome(std::span<char>(Body).subspan(Before), BytesRead);
    Body.resize(Before + BytesRead);
    if (Error)
      co_return classify(Error);
    if (!Parser->is_done() && isTooSlow())
      co_return ReadFailure::TooSlow;
  }
  co_return std::nullopt;
}

asio::awaitable<RequestPart> CallerConnection::readBodyPart() {
  PartBuffer.resize(ReadBytes);
  // Only the caller can cause a wait here, so the connection may be closed when
  // memory is short.
  if (Account)
    Account->setServed(false);
  std::size_t BytesRead = 0;
  while (BytesRead == 0 && !Parser->is_done()) {
    AwaitsBodyPart = true;
    const auto Error = co_await readSome(PartBuffer, BytesRead);
    AwaitsBodyPart = false;
    if (Error || Evicted || (!Parser->is_done() && isTooSlow())) {
      LeftDuringBody =
          Error && !Evicted && classify(Error) == ReadFailure::Closed;
      Broken = true;
      co_return RequestPart{{}, false, true};
    }
  }
  if (Account)
    Account->setServed(true);
  co_return RequestPart{
      {PartBuffer.data(), BytesRead}, Parser->is_done(), false};
}

asio::awaitable<bool> CallerConnection::write(HttpResponse Response) {
  // No other request can follow while the body of this one is unread.
  if (CloseAfterAnswer || !Parser || !Parser->is_done())
    Response.keep_alive(false);
  LastAnswerKeptAlive = Response.keep_alive();
  Stream.expires_after(Limits.SendTimeout);
  beginWrite();
  const auto [Error, Bytes] =
      co_await http::async_write(Stream, Response, AsTuple);
  endWrite();
  Broken = Broken || Error;
  co_return !Error;
}

asio::awaitable<bool>
CallerConnection::writeHead(http::response_header<> Head) {
  Answer.emplace(std::move(Head));
  if (CloseAfterAnswer || !Parser->is_done())
    Answer->keep_alive(false);
  LastAnswerKeptAlive = Answer->keep_alive();
  Answer->body().data = nullptr;
  Answer->body().more = true;
  Serializer.emplace(*Answer);
  Stream.expires_after(Limits.SendTimeout);
  const auto [Error, Bytes] =
      co_await http::async_write_header(Stream, *Serializer, AsTuple);
  Broken = Broken || Error;
  co_return !Error;
}

asio::awaitable<bool> CallerConnection::writePart(std::span<const char> Bytes,
                                                  bool Last) {
  // The serializer only reads from the buffer. It writes an empty buffer as a
  // chunk without data, which would end the body.
  Answer->body().data =
      Bytes.empty() ? nullptr : const_cast<char *>(Bytes.data());
  Answer->body().size = Bytes.size();
  Answer->body().more = !Last;
  Stream.expires_after(Limits.SendTimeout);
  const auto [Error, Written] =
      co_await http::async_write(Stream, *Serializer, AsTuple);
  const bool Failed = Error && Error != http::error::need_buffer;
  Broken = Broken || Failed;
  co_return !Failed;
}

bool CallerConnection::hasWholeBody() const {
  if (Parser->is_done())
    return true;
  const auto Remaining = Parser->content_length_remaining();
  int Unread = 0;
  if (!Remaining ||
      ::ioctl(Stream.socket().native_handle(), FIONREAD, &Unread) != 0)
    return false;
  return Buffer.size() + static_cast<std::size_t>(Unread) >= *Remaining;
}

void CallerConnection::watch(std::function<void()> Gone) {
  if (!Parser->is_done()) {
    // Reading ahead, which finds the end of the connection, would take bytes of
    // the body.
    auto &Service = asio::use_service<transport::HangUpService>(
        Stream.get_executor().context());
    HangUpWatch = Service.add(Stream.socket().native_handle(), std::move(Gone));
    return;
  }
  OnGone = std::move(Gone);
  if (!WatchPending)
    armWatch();
}

void CallerConnection::unwatch() {
  OnGone = {};
  if (HangUpWatch == 0)
    return;
  auto &Service = asio::use_service<transport::HangUpService>(
      Stream.get_executor().context());
  Service.remove(std::exchange(HangUpWatch, 0),
                 Stream.socket().is_open() ? Stream.socket().native_handle()
                                           : -1);
}

void CallerConnection::armWatch() {
  WatchPending = true;
  Stream.socket().async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this()](beast::error_code Error) {
        Self->WatchPending = false;
        if (!Error && Self->OnGone)
          Self->onReadable();
      });
}

ssize_t CallerConnection::peek() const {
  char Byte = 0;
  return ::recv(Stream.socket().native_handle(), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT);
}

bool CallerConnection::hasUnreadBytes() const {
  return Buffer.size() > 0 || peek() > 0;
}

void CallerConnection::onReadable() {
  // Bytes of pipelined requests hide the end of the connection, so they are
  // read ahead. Watching ends when the limit is reached: another wait would
  // return immediately while bytes are unread.
  while (Buffer.size() < MaxReadAheadBytes) {
    const auto Space = Buffer.prepare(MaxReadAheadBytes - Buffer.size());
    const auto Read = ::recv(Stream.socket().native_handle(), Space.data(),
                             Space.size(), MSG_DONTWAIT);
    if (Read > 0) {
      Buffer.commit(static_cast<std::size_t>(Read));
      continue;
    }
    if (Read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return armWatch();
    const auto Gone = std::exchange(OnGone, {});
    return Gone();
  }
}

bool CallerConnection::isReusable() const {
  return !Broken && !CloseAfterAnswer && LastAnswerKeptAlive && Parser &&
         Parser->is_done() && (!Serializer || Serializer->is_done());
}

void CallerConnection::abort() {
  Broken = true;
  beast::error_code Ignored;
  Stream.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
  Stream.close();
}

void CallerConnection::closeIfIdle() {
  // A read that has already received bytes continues. A waiting read fails,
  // which closes the connection.
  if (!Busy)
    Stream.cancel();
}

std::string CallerConnection::address() const {
  beast::error_code Failure;
  const auto Peer = Stream.socket().remote_endpoint(Failure);
  return Failure ? std::string() : Peer.address().to_string();
}

void CallerConnection::close() {
  Broken = true;
  beast::error_code Ignored;
  Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
  Stream.close();
}

asio::awaitable<void> CallerConnection::closeGracefully() {
  beast::error_code Ignored;
  Stream.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
  std::array<char, ReadBytes> Unused{};
  std::size_t Skipped = 0;
  Stream.expires_after(SkipTimeout);
  while (!Broken && Skipped < MaxSkippedBytes) {
    const auto [Error, Bytes] =
        co_await Stream.async_read_some(asio::buffer(Unused), AsTuple);
    if (Error)
      break;
    Skipped += Bytes;
  }
  close();
}

} // namespace masticgap::entry
