#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace masticgap::tests {

//! What a fake worker does with one request.
enum class Reaction {
  Answer,
  RefuseFull,
  RefuseLeaving,
  ResetUnread,    //!< Resets before it has read the request.
  ResetRead,      //!< Resets after it has read the request.
  TruncateSmall,  //!< Announces a small answer and sends half of it.
  TruncateLarge,  //!< Announces a large answer and sends half of it.
  Hold,           //!< Answers after release().
  Silent,         //!< Never answers.
  AnswerTwice,    //!< Sends another, unnamed answer after the first one.
  AnswerUnnamed,  //!< The answer does not name its request.
  AnswerForOther, //!< The answer has the request id of another request.
  CloseQuietly,   //!< Answers with keep-alive and closes the connection.
  AnswerLarge,    //!< Sends LargeBytes in chunks.
  AnswerUnframed  //!< Ends the answer by closing the connection.
};

//! Reactions to the next requests, whichever worker gets them; after them all
//! requests are answered.
class Script {
public:
  void set(std::vector<Reaction> Next) {
    const std::lock_guard<std::mutex> Hold(Lock);
    Reactions.assign(Next.begin(), Next.end());
  }
  Reaction next(bool Peek = false) {
    const std::lock_guard<std::mutex> Hold(Lock);
    if (Reactions.empty())
      return Reaction::Answer;
    const Reaction First = Reactions.front();
    if (!Peek)
      Reactions.pop_front();
    return First;
  }

private:
  std::mutex Lock;
  std::deque<Reaction> Reactions;
};

//! Worker that does what a test tells it, on a thread of its own, and keeps the
//! requests that it saw. GET /_load is answered and not kept.
class FakeWorker {
public:
  //! Bytes of the answer to AnswerLarge, and announced by TruncateLarge.
  static constexpr std::size_t LargeBytes = 16 * 1024 * 1024;

  explicit FakeWorker(std::vector<Reaction> Own = {});
  explicit FakeWorker(std::shared_ptr<Script> Shared);
  ~FakeWorker();
  FakeWorker(const FakeWorker &) = delete;
  FakeWorker &operator=(const FakeWorker &) = delete;

  Endpoint endpoint() const;

  Script &reactions() { return *Reactions; }
  //! Lets held answers go.
  void release();
  //! Load probes fail from now on, as those of a process that died.
  void stopProbes();

  std::vector<transport::HttpRequest> seen() const;
  std::size_t connections() const;
  //! Waits until it saw Count requests.
  void awaitSeen(std::size_t Count) const;
  //! Waits until a connection with a held request was closed by the other side.
  void awaitCancelled() const;
  //! Waits until an answer could not be sent to its end.
  void awaitSendFailure() const;

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Socket Connection);
  boost::asio::awaitable<bool> react(Socket &Connection, Reaction What,
                                     const transport::HttpRequest &Request);
  boost::asio::awaitable<bool> hold(Socket &Connection);
  boost::asio::awaitable<void> send(Socket &Connection,
                                    transport::HttpResponse Answer);
  boost::asio::awaitable<void> sendText(Socket &Connection, std::string Bytes);

  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::acceptor Acceptor;
  mutable std::mutex Lock;
  mutable std::condition_variable Changed;
  std::shared_ptr<Script> Reactions;
  std::vector<transport::HttpRequest> Requests;
  std::set<boost::asio::steady_timer *> Holding;
  std::size_t Connections = 0;
  std::size_t Cancelled = 0;
  std::size_t SendFailures = 0;
  bool Released = false;
  bool ProbesStopped = false;
  std::thread Thread;
};

} // namespace masticgap::tests
