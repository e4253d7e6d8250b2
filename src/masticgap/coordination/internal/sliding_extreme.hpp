#pragma once

#include "masticgap/state/time.hpp"

#include <deque>
#include <functional>

namespace masticgap::coordination::internal {

//! Extreme over the last Window of a value that stays constant between calls of
//! record(). Compare is std::less for the minimum, std::greater for the
//! maximum. A replaced value can count for slightly longer than the window.
template <class T, class Compare> class SlidingExtreme {
public:
  explicit SlidingExtreme(Duration W) : Window(W) {}

  //! Changes the window from the next call of extreme() on.
  void setWindow(Duration W) { Window = W; }

  //! Sets the value from Now on.
  void record(T Value, Instant Now) {
    while (!Samples.empty() && !Compare()(Samples.back().Value, Value))
      Samples.pop_back();
    Samples.push_back({Now, Value});
  }

  //! Returns the extreme over the window that ends at Now, or T() before the
  //! first record.
  T extreme(Instant Now) {
    while (Samples.size() > 1 && Samples[1].Since <= Now - Window)
      Samples.pop_front();
    return Samples.empty() ? T() : Samples.front().Value;
  }

private:
  struct Sample {
    Instant Since;
    T Value;
  };
  Duration Window;
  std::deque<Sample> Samples;
};

template <class T> using SlidingMin = SlidingExtreme<T, std::less<>>;
template <class T> using SlidingMax = SlidingExtreme<T, std::greater<>>;

} // namespace masticgap::coordination::internal
