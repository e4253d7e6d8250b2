#pragma once

#include "entry/caller_connection.hpp"
#include "entry/caller_request.hpp"
#include "entry/link_meter.hpp"
#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/coordination/stored_answer.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticgap::entry {

//! Whose answer is relayed.
struct AnswerOrigin {
  std::string Worker;
  std::uint64_t ConfigVersion = 0;
  bool FromPeer = false; //!< An entry host's answer has all headers already.
};

//! Copies a worker's answer to the caller with back-pressure. An answer of
//! known and small length is collected first, so that nothing of a truncated
//! one is sent; a longer one passes through a bounded buffer.
class AnswerRelay {
public:
  //! Answers up to this size are collected; also the largest that is kept for a
  //! repeated request.
  static constexpr std::uint64_t CollectLimit = 64 * 1024;

  //! \param Keep keeps the answer and reads it to its end although the caller
  //! went away.
  AnswerRelay(CallerConnection &Caller, const CallerRequest &Request,
              AnswerOrigin Origin, bool KeepAnswer);

  //! Relays the answer that \p Exchange has started to receive.
  boost::asio::awaitable<coordination::AttemptEnd>
  run(transport::WorkerExchange &Exchange, LinkMeter &Meter,
      transport::AttemptControl &Control);

  //! Whether bytes of the answer went to the caller.
  bool started() const { return Started; }
  //! The answer, if it was kept and is not too large.
  std::optional<coordination::StoredAnswer> takeKept();

private:
  using End = coordination::AttemptEnd;

  boost::asio::awaitable<std::optional<End>>
  readBody(transport::WorkerExchange &Exchange, LinkMeter &Meter,
           transport::AttemptControl &Control);
  boost::asio::awaitable<void> sendCollected();
  boost::beast::http::response_header<>
  streamedHead(const transport::WorkerExchange &Exchange) const;
  void collect(std::span<const char> Bytes);
  void setFields(boost::beast::http::fields &Fields) const;

  CallerConnection &Caller;
  const CallerRequest &Request;
  AnswerOrigin Origin;
  bool KeepAnswer;
  bool CollectFirst = false; //!< Collected before it is sent.
  bool Started = false;
  bool CallerGone = false;
  bool Overflow = false;
  std::vector<char> Buffer;
  coordination::StoredAnswer Collected;
};

} // namespace masticgap::entry
