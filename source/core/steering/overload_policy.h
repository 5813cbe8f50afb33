/// Decides whether a queued SYN is refused because no target can serve it
/// before its client gives up.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sassafrasdyke::core {

/// What is known of a queued SYN.
struct SynOutlook {
  std::size_t ahead{0};  ///< SYNs that leave the queue before it.
  std::chrono::milliseconds waited{0};  ///< Since its first copy was sent.
  /// Rate at which SYNs leave the queue; nothing while it isn't known.
  std::optional<double> leave_per_s;
  /// Whether every copy of the SYN was queued here and none was forwarded.
  bool all_copies_here{false};
};

/// Why a SYN is refused or goes on waiting.
enum class OverloadReason : std::uint8_t {
  kCanBeServed,     ///< It gets its turn before its client gives up.
  kRateUnknown,     ///< SYNs haven't waited for long enough to tell.
  kMaybeForwarded,  ///< A copy may have been forwarded: a refusal could lie.
  kCannotBeServed,  ///< Its client gives up before its turn.
  kQueueFull,       ///< It would be the last one served.
  kNeverRefused,    ///< The policy refuses none.
};

struct OverloadDecision {
  bool refuse{false};
  OverloadReason reason{OverloadReason::kCanBeServed};
};

class OverloadPolicy {
 public:
  virtual ~OverloadPolicy() = default;

  virtual OverloadDecision Judge(const SynOutlook& syn) const = 0;
};

/// Refuses those whose clients give up before their turn: these can try
/// elsewhere or tell their users, and the slot goes to one that is served.
class RefuseHopeless final : public OverloadPolicy {
 public:
  OverloadDecision Judge(const SynOutlook& syn) const override;
};

/// Lets each wait until its client gives up.
class HoldAll final : public OverloadPolicy {
 public:
  OverloadDecision Judge(const SynOutlook& /*syn*/) const override {
    return {false, OverloadReason::kNeverRefused};
  }
};

/// Decides whether the SYN that would be served last, and therefore leaves a
/// full queue, is refused; otherwise it is dropped. `all_copies_here`: see
/// SynOutlook.
OverloadDecision JudgeLastInFullQueue(bool all_copies_here);

}  // namespace sassafrasdyke::core
