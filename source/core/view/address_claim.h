/// Decides which of two targets that publish the same address holds it. Their
/// entries don't show it directly: the entry of a crashed target stays
/// published for some heartbeats, the store may apply a write seconds late, and
/// other programs may write entries too.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// Maximum difference between the clocks of two targets, one of which may have
/// been stepped.
inline constexpr std::chrono::milliseconds kMaxClockDifference{5000};

/// What is known of a target that publishes an address.
struct AddressClaim {
  /// Whether the configuration in force names the target's service.
  bool service_known{false};
  /// See PublishedTarget.
  std::optional<std::chrono::milliseconds> started_at;
  /// Of the last change of its entry.
  common::Revision revision;
  std::string_view name;  ///< Of its entry.
};

/// How a target stands among those that publish its address.
enum class AddressStanding : std::uint8_t {
  kHolder,     ///< It has the address.
  kContested,  ///< Another one probably has it.
  kReplaced,   ///< Another one certainly has it, so it has ended.
};

/// Whether `a` is more likely than `b` to have the address. A strict total
/// order of claims with different names: all instances find the same holder,
/// whatever the order in which they learnt of the claims.
bool Outranks(const AddressClaim& a, const AddressClaim& b);

/// The standing of a claim that `holder` outranks.
AddressStanding StandingBeside(const AddressClaim& claim,
                               const AddressClaim& holder);

}  // namespace sassafrasdyke::core
