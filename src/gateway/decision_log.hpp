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

//! Importance of a line when the buffer is nearly full.
enum class LogClass {
  Routine, //!< Successes; dropped first.
  Decision //!< Failures, rejections and state changes.
};

//! Value of a log field: text, number or Boolean.
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

//! Structured log on standard output with one logfmt line per event. Lines go
//! through a bounded buffer and are written only when that does not block;
//! complete lines are dropped and counted when the buffer is full.
class DecisionLog {
public:
  using Field = std::pair<std::string_view, LogValue>;

  DecisionLog(boost::asio::io_context &Io, HostId Host, int FileDescriptor = 1);
  ~DecisionLog();

  //! Appends one event to the buffer, or drops it if the buffer is full.
  void write(LogClass Class, std::string_view Event,
             std::initializer_list<Field> Fields);

  //! Writes as much of the buffer as possible without blocking.
  void flush();
  //! Cancels the scheduled flush, so that the io_context can run out of work,
  //! and flushes.
  void stop();

  //! Number of lines that were dropped.
  std::uint64_t dropped() const { return Dropped; }
  //! Number of lines that were accepted.
  std::uint64_t lines() const { return Lines; }

private:
  void scheduleFlush();

  boost::asio::steady_timer Timer;
  HostId Host;
  int FileDescriptor;
  std::string Buffer;
  std::uint64_t Lines = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
  bool FlushScheduled = false;
  bool OutputClosed = false;
};

} // namespace masticgap::gateway
