#pragma once

#include "masticgap/state/names.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace masticgap::gateway {

//! How much a line matters when the buffer is short.
enum class LogClass {
  Routine, //!< Successes; dropped first.
  Decision //!< Failures, refusals and changes of belief.
};

//! Value of a field: text, number or time.
class LogValue {
public:
  LogValue(std::string_view Text) : Text(Text) {}
  LogValue(const char *Text) : Text(Text) {}
  LogValue(const std::string &Text) : Text(Text) {}
  LogValue(double Number);
  LogValue(std::uint64_t Number) : Text(std::to_string(Number)) {}
  LogValue(std::int64_t Number) : Text(std::to_string(Number)) {}
  LogValue(unsigned Number) : Text(std::to_string(Number)) {}
  LogValue(int Number) : Text(std::to_string(Number)) {}
  LogValue(bool Value) : Text(Value ? "true" : "false") {}

  const std::string &text() const { return Text; }

private:
  std::string Text;
};

//! Structured log on standard output, one logfmt line an event. Lines go
//! through a bounded buffer and are written only when that does not block;
//! whole lines are dropped and counted when the buffer is full.
class DecisionLog {
public:
  using Field = std::pair<std::string_view, LogValue>;

  DecisionLog(boost::asio::io_context &Io, HostId Host, int Handle = 1);
  ~DecisionLog();

  void write(LogClass Class, std::string_view Event,
             std::initializer_list<Field> Fields);

  //! Writes what fits without blocking; at the end of the process.
  void flush();
  //! Lets the thread end.
  void stop();

  std::uint64_t dropped() const { return Dropped; }
  std::uint64_t lines() const { return Lines; }

private:
  void arm();

  boost::asio::steady_timer Timer;
  HostId Host;
  int Handle;
  std::string Buffer;
  std::uint64_t Lines = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
  bool Armed = false;
  bool Closed = false;
};

} // namespace masticgap::gateway
