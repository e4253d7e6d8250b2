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
  ResetUnread,         //!< Resets before reading the request.
  ResetRead,           //!< Resets after reading the request.
  TruncateSmall,       //!< Announces a small answer and sends half of it.
  TruncateLarge,       //!< Announces a large answer and sends half of it.
  Hold,                //!< Answers after release().
  Silent,              //!< Never answers.
  AnswerTwice,         //!< Sends a second answer without a request id.
  AnswerWithoutId,     //!< The answer has no request id.
  AnswerForOther,      //!< The answer has the request id of another request.
  CloseAfterKeepAlive, //!< Answers with keep-alive and closes the connection.
  AnswerLarge,         //!< Sends LargeBytes in chunks.
  AnswerUnframed       //!< Ends the answer by closing the connection.
};

//! Reactions to the next requests, whichever worker receives them. Once they
//! are used up, all requests are answered.
class Script {
public:
  void set(std::vector<Reaction> Next) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Reactions.assign(Next.begin(), Next.end());
  }
  //! Returns the next reaction.
  //! \param Peek keeps the reaction in the script.
  Reaction next(bool Peek = false) {
    const std::lock_guard<std::mutex> Guard(Lock);
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

//! Worker that reacts as a test specifies, on a separate thread, and records
//! the requests it received. GET /_load is answered and not recorded.
class FakeWorker {
public:
  //! Size of the answer for AnswerLarge; TruncateLarge announces this size.
  static constexpr std::size_t LargeBytes = 16 * 1024 * 1024;

  explicit FakeWorker(std::vector<Reaction> Initial = {});
  explicit FakeWorker(std::shared_ptr<Script> Shared);
  ~FakeWorker();
  FakeWorker(const FakeWorker &) = delete;
  FakeWorker &operator=(const FakeWorker &) = delete;

  Endpoint endpoint() const;

  Script &reactions() { return *Reactions; }
  //! Sends the held answers, and answers later Hold reactions at once.
  void release();
  //! Makes load probes fail from now on, like those of a crashed process.
  void stopProbes();

  std::vector<transport::HttpRequest> seen() const;
  std::size_t connections() const;
  //! Waits until Count requests were received, for 60 s at most.
  void awaitSeen(std::size_t Count) const;
  //! Waits until the peer closed a connection with a held request, for 60 s at
  //! most.
  void awaitCancelled() const;
  //! Waits until an answer could not be sent completely, for 60 s at most.
  void awaitSendFailure() const;

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Socket Connection);
  boost::asio::awaitable<bool> react(Socket &Connection, Reaction Requested,
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
