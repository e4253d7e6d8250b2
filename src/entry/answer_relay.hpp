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

//! Process whose answer is relayed.
struct AnswerOrigin {
  std::string Worker;
  std::uint64_t ConfigVersion = 0;
  bool FromPeer = false; //!< Another entry host sent it, with all headers set.
};

//! Copies a worker's answer to the caller with back-pressure. An answer of
//! known length up to CollectLimit is buffered completely before it is sent, so
//! that no part of a truncated answer reaches the caller. Other answers are
//! streamed through a buffer of limited size.
class AnswerRelay {
public:
  //! Largest answer that is buffered before it is sent, in bytes; also the
  //! largest answer that is stored for repeated requests.
  static constexpr std::uint64_t CollectLimit = 64 * 1024;

  //! \param KeepAnswer stores the answer, and reads it to its end even if the
  //! caller closed its connection.
  AnswerRelay(CallerConnection &Caller, const CallerRequest &Request,
              AnswerOrigin Origin, bool KeepAnswer);

  //! Relays the answer that \p Exchange has started to receive.
  boost::asio::awaitable<coordination::AttemptEnd>
  run(transport::WorkerExchange &Exchange, LinkMeter &Meter,
      transport::AttemptControl &Control);

  //! Returns whether sending the answer to the caller has started.
  bool started() const { return Started; }
  //! Returns the stored answer, unless it exceeded CollectLimit.
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
  bool CollectFirst = false; //!< The answer is buffered before it is sent.
  bool Started = false;
  bool CallerGone = false;
  bool Overflow = false;
  std::vector<char> Buffer;
  coordination::StoredAnswer Collected;
};

} // namespace masticgap::entry
