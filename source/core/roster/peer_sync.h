/// Decides who reads the store, what instances tell each other, and from whom
/// one takes its view when the store doesn't answer it.
///
/// A watch by every instance would cost calls in proportion to the fleet, and
/// the store's rate grows more slowly. So a few instances of each failure
/// domain read and tell the others; an instance that isn't told in time reads
/// for itself, so a wrong idea of who reads costs calls, not freshness.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "common/address.h"
#include "core/fleet/jitter.h"
#include "core/roster/copy_pull.h"
#include "core/roster/peer_digest.h"
#include "core/roster/reading_plan.h"
#include "core/roster/roster.h"
#include "core/roster/sync_limits.h"
#include "core/view/live_view.h"

namespace sassafrasdyke::core {

/// A digest and where to.
struct DigestOut {
  common::Endpoint to;
  PeerDigest digest;
};

/// What is to be done after an event.
struct SyncActions {
  std::vector<DigestOut> digests;
  /// Take what this view lacks from this instance, over a stream.
  std::optional<common::Endpoint> pull;
};

/// The exchange of one instance. Times are monotonic.
class PeerSync {
 public:
  /// `view` must outlive this; `seed` varies random choices only.
  PeerSync(RosterSelf self, const std::vector<common::Endpoint>& seeds,
           LiveView& view, const SyncLimits& limits, std::uint64_t seed)
      : view(view),
        limits(limits),
        jitter(seed),
        pull(self.address),
        plan(limits, seed),
        roster(std::move(self), seeds) {}

  /// Greets the seeds, so that others learn of this instance at once.
  SyncActions OnStart(std::chrono::milliseconds now);
  /// Called about ten times a second.
  SyncActions OnTick(std::chrono::milliseconds now);
  SyncActions OnDigest(const PeerDigest& digest, std::chrono::milliseconds now);
  /// The own reading of the store brought changes after `before`, or confirmed
  /// that there are none.
  SyncActions OnStoreNews(common::Revision before,
                          std::chrono::milliseconds now);
  /// A stream brought another instance's items.
  SyncActions OnPulled(ItemDelta delta, const ViewMark& mark,
                       std::chrono::milliseconds now);
  /// No copy came. `instead`: who may be asked instead, if that was said.
  SyncActions OnPullFailed(const std::optional<common::Endpoint>& instead);
  /// The source is busy serving other copies. Without `instead` it is asked
  /// again at the next tick.
  SyncActions OnPullRefused(const std::optional<common::Endpoint>& instead);
  /// An own call of the store failed.
  void OnStoreFailure(std::chrono::milliseconds now);
  void OnLeave() { this->leaving = true; }
  void SetSeeds(const std::vector<common::Endpoint>& seeds) {
    this->roster.SetSeeds(seeds);
  }

  /// Whether, and why, this instance shall read the store itself now.
  StoreReading Reading(std::chrono::milliseconds now) const;
  bool ShouldRead(std::chrono::milliseconds now) const {
    return this->Reading(now) != StoreReading::kNone;
  }
  /// How far this view is, for an answer over a stream.
  ViewMark Mark(std::chrono::milliseconds now) const;
  const Roster& Members() const { return this->roster; }

 private:
  SyncActions AskSeeds(std::chrono::milliseconds now);
  PeerDigest MakeDigest(const common::Endpoint& receiver,
                        std::chrono::milliseconds now);
  /// A digest that the receiver shall answer.
  DigestOut MakeQuestion(const common::Endpoint& receiver,
                         std::chrono::milliseconds now);
  ReadingRole Role(std::chrono::milliseconds now) const;
  /// Asks each reader of the domain once for its view. A reader that has none
  /// yet learns of this instance and tells it when it has one.
  SyncActions AskReaders(std::chrono::milliseconds now);
  /// Whether the view is too old, or the own reading of the store fails.
  bool NeedsPeers(std::chrono::milliseconds now) const;
  bool IsReader(std::chrono::milliseconds now) const;
  bool IsSeed() const;
  void TakeMark(const ViewMark& mark, std::chrono::milliseconds now);
  /// Treats the store as absent if the sender is a reader whose view is old.
  void NoteStoreAbsence(const PeerDigest& digest,
                        std::chrono::milliseconds now);
  /// Clears `owed` unless a copy is pending.
  void ClearOwedUnlessPulling();
  SyncActions TellFollowers(std::span<const ItemDelta> changes,
                            std::chrono::milliseconds now);
  /// The own view has what the store or a peer has told.
  SyncActions OnNews(common::Revision before, bool tells_followers,
                     std::chrono::milliseconds now);
  SyncActions TellThroughRelays(const Followers& followers,
                                std::span<const ItemDelta> changes,
                                std::chrono::milliseconds now);
  SyncActions Tell(std::span<const common::Endpoint> members,
                   std::span<const ItemDelta> changes,
                   std::chrono::milliseconds now);
  /// Queues the members that the digest asks this instance to tell about its
  /// view. `before` is the own revision before the digest was applied.
  void Owe(const PeerDigest& digest, common::Revision before);
  /// Tells the queued members once the own view has reached `owed_revision`.
  SyncActions TellOwed(std::chrono::milliseconds now);

  LiveView& view;
  const SyncLimits limits;
  Jitter jitter;
  CopyPull pull;
  ReadingPlan plan;
  Roster roster;
  bool leaving{false};
  /// Readers that `AskReaders` has asked.
  std::vector<common::Endpoint> asked_readers;
  std::vector<common::Endpoint> owed;  ///< To be told by this instance.
  /// The revision that the owed members are assumed to have.
  common::Revision owed_base_revision;
  /// The revision that the own view must reach before they are told.
  common::Revision owed_revision;
  std::chrono::milliseconds asked_at{0};
  std::chrono::milliseconds greeted_at{0};
};

}  // namespace sassafrasdyke::core
