/// Rendezvous hashing over instances: everyone with the same list chooses the
/// same instances, without an election.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// What instances are chosen for; each role has an order of its own, so that
/// no instance carries all of them.
enum class ChosenRole : std::uint64_t {
  kReader = 0x5EAD,   ///< Holds the platform's watch; the key is the domain.
  kWatcher = 0x3A7C,  ///< Watches an instance; the key is that instance.
  kLink = 0x114C,     ///< Talks to another domain; the key is the pair.
};

/// The score of `candidate` for `role` and `key`; the greatest wins.
std::uint64_t ScoreOf(common::InstanceId candidate, ChosenRole role,
                      std::uint64_t key);

/// The `count` candidates with the greatest scores, best first.
std::vector<common::InstanceId> Choose(
    const std::vector<common::InstanceId>& candidates, ChosenRole role,
    std::uint64_t key, std::size_t count);

/// True when `candidate` is among the `count` best of `candidates` (of which
/// it need not be one) that aren't `except`.
bool IsChosen(common::InstanceId candidate,
              const std::vector<common::InstanceId>& candidates,
              common::InstanceId except, ChosenRole role, std::uint64_t key,
              std::size_t count);

}  // namespace sassafrasdyke::core
