#pragma once

#include <chrono>
#include <thread>

namespace masticgap::tests {

//! Waits until a condition holds.
//! \returns false if it does not hold within 20 s.
template <class Check> bool eventually(Check IsTrue) {
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < Limit) {
    if (IsTrue())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

} // namespace masticgap::tests
