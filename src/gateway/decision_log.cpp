#include "gateway/decision_log.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>

#include <poll.h>
#include <unistd.h>

namespace masticgap::gateway {

namespace {

//! Size of the buffer for standard output. Routine lines may use half of it, so
//! that they cannot displace failures.
constexpr std::size_t BufferBytes = 128 * 1024;
constexpr std::size_t RoutineBytes = BufferBytes / 2;
//! PIPE_BUF of Linux: once poll() reports a pipe as writable, this many bytes
//! can be written without blocking.
constexpr std::size_t WriteBytes = 4096;
//! Longer values of fields are cut, so that one value of another writer, such
//! as the service of a worker, does not displace other lines.
constexpr std::size_t MaxValueBytes = 1024;
constexpr std::string_view CutMark = "...";
//! Lines are collected for this time, which saves a system call per line.
constexpr std::chrono::milliseconds FlushDelay{250};

bool needsQuotes(std::string_view Text) {
  return Text.empty() || std::ranges::any_of(Text, [](char C) {
           return C <= ' ' || C == '"' || C == '=' || C == 0x7f;
         });
}

void append(std::string &Line, std::string_view Text) {
  if (!needsQuotes(Text)) {
    Line += Text;
    return;
  }
  Line += '"';
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Line += '\\';
    Line += C < ' ' || C == 0x7f ? '?' : C;
  }
  Line += '"';
}

} // namespace

LogValue::LogValue(double Number) {
  std::array<char, 32> Digits{};
  const int Size = std::snprintf(Digits.data(), Digits.size(), "%.3f", Number);
  Text.assign(Digits.data(), static_cast<std::size_t>(std::max(0, Size)));
}

DecisionLog::DecisionLog(boost::asio::io_context &Io, HostId Host,
                         int FileDescriptor)
    : Timer(Io), Host(std::move(Host)), FileDescriptor(FileDescriptor) {}

DecisionLog::~DecisionLog() { flush(); }

void DecisionLog::write(LogClass Class, std::string_view Event,
                        std::initializer_list<Field> Fields) {
  const std::size_t Limit =
      Class == LogClass::Routine ? RoutineBytes : BufferBytes;
  if (OutputClosed || Buffer.size() >= Limit) {
    ++Dropped;
    return;
  }
  ++Lines;
  Buffer += "ts=";
  Buffer += std::to_string(transport::unixMilliseconds());
  Buffer += " host=";
  append(Buffer, Host.value());
  Buffer += " event=";
  append(Buffer, Event);
  for (const auto &[Name, Value] : Fields) {
    Buffer += ' ';
    Buffer += Name;
    Buffer += '=';
    const std::string &Text = Value.text();
    if (Text.size() > MaxValueBytes)
      append(Buffer, Text.substr(0, MaxValueBytes).append(CutMark));
    else
      append(Buffer, Text);
  }
  Buffer += '\n';
  scheduleFlush();
}

void DecisionLog::scheduleFlush() {
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  Timer.expires_after(FlushDelay);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    FlushScheduled = false;
    flush();
    if (!Buffer.empty() && !OutputClosed)
      scheduleFlush();
  });
}

void DecisionLog::flush() {
  if (Dropped > DroppedReported && Buffer.size() < BufferBytes) {
    Buffer += "ts=" + std::to_string(transport::unixMilliseconds()) +
              " host=" + Host.value() + " event=log_dropped lines=" +
              std::to_string(Dropped - DroppedReported) + "\n";
    DroppedReported = Dropped;
  }
  std::size_t Written = 0;
  while (Written < Buffer.size()) {
    pollfd Ready{FileDescriptor, POLLOUT, 0};
    if (::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      break;
    const auto Result = ::write(FileDescriptor, Buffer.data() + Written,
                                std::min(WriteBytes, Buffer.size() - Written));
    if (Result < 0 && (errno == EINTR || errno == EAGAIN))
      break;
    if (Result < 0) {
      // Nobody reads the output any longer, and the failure cannot be reported
      // elsewhere.
      OutputClosed = true;
      Dropped += std::count(Buffer.begin(), Buffer.end(), '\n');
      Buffer.clear();
      return;
    }
    Written += static_cast<std::size_t>(Result);
  }
  Buffer.erase(0, Written);
}

void DecisionLog::stop() {
  Timer.cancel();
  flush();
}

} // namespace masticgap::gateway
