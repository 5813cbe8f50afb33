/// Searches for failing histories with new seeds: core_explore FIRST_SEED
/// SEEDS.
#include <cstdint>
#include <iostream>
#include <string>

#include "core/differential/properties.h"

int main(int argc, char** argv) {
  using sassafrasdyke::core::testing::Check;
  using sassafrasdyke::core::testing::Mix;
  constexpr int kArguments = 3;
  constexpr int kHistories = 60;
  if (argc != kArguments) {
    std::cerr << "usage: core_explore FIRST_SEED SEEDS\n";
    return 2;
  }
  const std::uint64_t first = std::stoull(argv[1]);
  const std::uint64_t seeds = std::stoull(argv[2]);
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    for (const Mix mix : {Mix::kPlanned, Mix::kAny}) {
      const std::string wrong = Check({mix, seed, kHistories});
      if (!wrong.empty()) {
        ++failed;
        std::cout << (mix == Mix::kPlanned ? "planned" : "any") << ", seed "
                  << seed << ":\n"
                  << wrong << std::endl;
      }
    }
  }
  std::cout << seeds << " seeds of " << kHistories << " histories each way, "
            << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
