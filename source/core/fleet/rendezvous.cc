#include "core/fleet/rendezvous.h"

#include <algorithm>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

struct Scored {
  std::uint64_t score;
  common::InstanceId id;
};

bool Better(const Scored& left, const Scored& right) {
  return left.score != right.score ? left.score > right.score
                                   : left.id.value < right.id.value;
}

}  // namespace

std::uint64_t ScoreOf(common::InstanceId candidate, ChosenRole role,
                      std::uint64_t key) {
  return common::HashNumbers(candidate.value, key,
                             static_cast<std::uint64_t>(role));
}

std::vector<common::InstanceId> Choose(
    const std::vector<common::InstanceId>& candidates, ChosenRole role,
    std::uint64_t key, std::size_t count) {
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (const common::InstanceId id : candidates) {
    scored.push_back({ScoreOf(id, role, key), id});
  }
  const std::size_t taken = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(taken),
                    scored.end(), Better);
  std::vector<common::InstanceId> chosen;
  for (std::size_t rank = 0; rank < taken; ++rank) {
    chosen.push_back(scored[rank].id);
  }
  return chosen;
}

bool IsChosen(common::InstanceId candidate,
              const std::vector<common::InstanceId>& candidates,
              common::InstanceId except, ChosenRole role, std::uint64_t key,
              std::size_t count) {
  const Scored own{ScoreOf(candidate, role, key), candidate};
  std::size_t better = 0;
  for (const common::InstanceId other : candidates) {
    if (other == candidate || other == except) {
      continue;
    }
    better += Better({ScoreOf(other, role, key), other}, own) ? 1 : 0;
    if (better >= count) {
      return false;
    }
  }
  return count > 0;
}

}  // namespace sassafrasdyke::core
