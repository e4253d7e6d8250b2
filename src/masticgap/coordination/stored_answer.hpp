#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::coordination {

//! Complete answer of a worker, stored to be returned for a resent request.
struct StoredAnswer {
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  //! Returns the number of bytes that count towards the limits of the guard.
  std::size_t bytes() const {
    std::size_t Sum = sizeof(StoredAnswer) + Body.size();
    for (const auto &[HeaderName, Value] : Headers)
      Sum += HeaderName.size() + Value.size() + 2 * sizeof(std::string);
    return Sum;
  }

  friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

} // namespace masticgap::coordination
