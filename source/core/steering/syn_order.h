/// Order in which queued SYNs leave the SYN queue.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "common/flow_key.h"
#include "core/steering/syn_queue.h"

namespace sassafrasdyke::core {

/// A route for which SYNs wait.
struct WaitingRoute {
  common::Endpoint address;
  std::uint32_t rank{0};  ///< Priority; 0 is the most urgent.
  /// How long a client may have waited and still be served in time.
  std::chrono::milliseconds in_time{0};
};

/// Of this many SYNs that leave, one is not of the most urgent rank.
inline constexpr std::size_t kTurnsPerOtherRank = 8;

/// Least number of SYNs that leave before one that has `before` others before
/// it by rank, `in_rank` of them of its own rank.
constexpr std::size_t SynsAhead(std::size_t before, std::size_t in_rank) {
  return std::min(before, kTurnsPerOtherRank * (in_rank + 1) - 1);
}

/// A queued SYN and its place in the order.
struct SynPlace {
  common::FlowKey flow;
  std::uint32_t rank{0};
  std::chrono::milliseconds first_sent{0};
  std::size_t before{0};   ///< SYNs before it by rank.
  std::size_t in_rank{0};  ///< Those of its own rank among them.

  std::size_t Ahead() const { return SynsAhead(this->before, this->in_rank); }
};

/// Selects among the queued SYNs. Times are monotonic.
class SynOrder {
 public:
  virtual ~SynOrder() = default;

  /// Removes the SYN that leaves next from `queue` and returns it. Only
  /// `routes` are considered, which have a grant each. Superseded SYNs aren't
  /// returned.
  virtual std::optional<QueuedSyn> TakeNext(
      SynQueue& queue, std::span<const WaitingRoute> routes,
      std::chrono::milliseconds now) = 0;
  /// All SYNs of `routes` by rank, those of a rank in the order in which they
  /// would leave if no other arrived.
  virtual std::vector<SynPlace> Line(const SynQueue& queue,
                                     std::span<const WaitingRoute> routes,
                                     std::chrono::milliseconds now) const = 0;
};

/// By rank only; within a route as SynQueue orders.
class RankOrder final : public SynOrder {
 public:
  std::optional<QueuedSyn> TakeNext(SynQueue& queue,
                                    std::span<const WaitingRoute> routes,
                                    std::chrono::milliseconds now) override;
  std::vector<SynPlace> Line(const SynQueue& queue,
                             std::span<const WaitingRoute> routes,
                             std::chrono::milliseconds now) const override;
};

/// By rank with a bound on starvation, and within a rank fair among callers.
///
/// A rank that always went first would starve the others while it alone
/// exceeds the capacity, so other ranks get one of eight turns. Within a rank,
/// stochastic fair queueing with start tags: who opens the most flows would
/// otherwise get the most slots, at the cost of callers who open few.
class FairOrder final : public SynOrder {
 public:
  std::optional<QueuedSyn> TakeNext(SynQueue& queue,
                                    std::span<const WaitingRoute> routes,
                                    std::chrono::milliseconds now) override;
  std::vector<SynPlace> Line(const SynQueue& queue,
                             std::span<const WaitingRoute> routes,
                             std::chrono::milliseconds now) const override;

 private:
  /// Virtual times of one rank, in SYNs per caller.
  struct Turns {
    std::uint64_t virtual_time{0};
    /// Finish tags by bucket of callers; only those beyond `virtual_time`.
    std::unordered_map<std::uint32_t, std::uint64_t> finish_tags;
    /// Number of the last turn that the rank got while it wasn't the most
    /// urgent one; 0 before any.
    std::uint64_t last_turn{0};

    std::uint64_t StartTag(std::uint32_t bucket) const;
    void OnTaken(std::uint32_t bucket, std::uint64_t least_waiting);
  };
  /// A queued SYN with what the order compares.
  struct Candidate {
    const QueuedSyn* syn;
    std::uint32_t rank;
    std::uint32_t bucket;
    std::uint64_t tag;  ///< Start tag of its turn.
    std::chrono::milliseconds first_sent;
    bool late;

    /// Whether it leaves before `other` of the same rank.
    bool Before(const Candidate& other) const;
  };

  std::vector<Candidate> CandidatesOf(const SynQueue& queue,
                                      std::span<const WaitingRoute> routes,
                                      std::chrono::milliseconds now) const;
  /// The rank whose turn it is.
  std::uint32_t RankInTurn(const std::vector<Candidate>& candidates) const;

  std::map<std::uint32_t, Turns> turns;  ///< By rank.
  std::uint64_t other_turns{0};          ///< Of ranks but the most urgent one.
  /// Turns that the most urgent rank has had while others waited, since one of
  /// these had its turn. Kept while no other waits: otherwise a rank of which
  /// one SYN waits at a time would never get a turn if that gives up before.
  unsigned urgent_turns{0};
};

}  // namespace sassafrasdyke::core
