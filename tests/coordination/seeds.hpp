#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace masticgap::tests {

//! Number of seeds. Builds with sanitizers are over ten times slower and detect
//! other faults, for which a few seeds suffice.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr std::uint64_t SeedCount = 5;
#else
inline constexpr std::uint64_t SeedCount = 50;
#endif

//! Runs a test with SeedCount fixed seeds, or with the seed in MASTICGAP_SEED.
//! The message of a failed check contains the command that repeats it.
//! \param Filter doctest filter that selects the calling test case.
template <class Function>
void forEachSeed(const std::string &Filter, Function Run) {
  const char *FixedSeed = std::getenv("MASTICGAP_SEED");
  const std::uint64_t First =
      FixedSeed ? std::strtoull(FixedSeed, nullptr, 10) : 1;
  const std::uint64_t Last = FixedSeed ? First : SeedCount;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    const std::string Repeat =
        "MASTICGAP_SEED=" + std::to_string(Seed) +
        " build/tests/coordination-tests '-tc=" + Filter + "'";
    CAPTURE(Repeat);
    Run(Seed);
  }
}

} // namespace masticgap::tests
