#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

namespace masticgap::standins {

//! Counts calls and records the largest number within any second.
class RateMeter {
public:
  void count(Instant Now) {
    ++Total;
    Recent.push_back(Now);
    while (Now - Recent.front() >= std::chrono::seconds(1))
      Recent.pop_front();
    Peak = std::max<std::uint64_t>(Peak, Recent.size());
  }
  std::uint64_t total() const { return Total; }
  std::uint64_t peak() const { return Peak; }

private:
  std::uint64_t Total = 0;
  std::uint64_t Peak = 0;
  std::deque<Instant> Recent;
};

} // namespace masticgap::standins
