#include "masticgap/transport/boot_clock.hpp"

#include <ctime>

namespace masticgap::transport {

namespace {

Instant readClock(clockid_t Clock, bool &Supported) {
  timespec Time{};
  Supported = ::clock_gettime(Clock, &Time) == 0;
  return Instant(std::chrono::seconds(Time.tv_sec) +
                 std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

Instant now() {
  bool Supported = false;
  const Instant Boot = readClock(CLOCK_BOOTTIME, Supported);
  if (Supported)
    return Boot;
  return readClock(CLOCK_MONOTONIC, Supported);
}

std::uint64_t unixMilliseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

} // namespace masticgap::transport
