/// Rendezvous hashing over instances: all instances with the same list choose
/// the same ones, without an election.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// What instances are chosen for. Each role ranks the instances differently, so
/// that no instance is first for all of them.
enum class ChosenRole : std::uint64_t {
  kReader = 0x5EAD,   ///< Watches the platform; the key is the domain.
  kWatcher = 0x3A7C,  ///< Watches an instance; the key is that instance.
  kLink = 0x114C,     ///< Has a link to another domain; the key is the pair.
};

/// The score of `candidate` for `role` and `key`; the highest wins.
std::uint64_t ScoreOf(common::InstanceId candidate, ChosenRole role,
                      std::uint64_t key);

/// The `count` candidates with the highest scores, best first.
std::vector<common::InstanceId> Choose(
    const std::vector<common::InstanceId>& candidates, ChosenRole role,
    std::uint64_t key, std::size_t count);

/// True when `candidate` ranks among the `count` best of `candidates` without
/// `except`. It need not be one of `candidates`.
bool IsChosen(common::InstanceId candidate,
              const std::vector<common::InstanceId>& candidates,
              common::InstanceId except, ChosenRole role, std::uint64_t key,
              std::size_t count);

}  // namespace sassafrasdyke::core
