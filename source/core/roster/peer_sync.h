/// Decides who reads the store, what instances tell each other, and from whom
/// one takes its view when the store doesn't answer it.
///
/// A watch by every instance would cost calls in proportion to the fleet, and
/// the store's rate grows more slowly. So a few instances of each failure
/// domain read and tell the others; an instance that isn't told in time reads
/// for itself, so a wrong idea of who reads costs calls, not freshness.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "common/address.h"
#include "core/fleet/jitter.h"
#include "core/roster/news_pace.h"
#include "core/roster/peer_digest.h"
#include "core/roster/roster.h"
#include "core/view/live_view.h"

namespace sassafrasdyke::core {

/// Times and numbers of the exchange.
struct SyncLimits {
  /// Instances of a failure domain that read the store. With two, one that
  /// dies leaves no gap.
  std::size_t readers{2};
  /// A view older than this is asked for elsewhere. Readers hear from the
  /// store at least every 1.5 s.
  std::chrono::milliseconds ask_after{1900};
  /// A follower whose view is older than this reads the store itself. With a
  /// listing of 0.1 s that is well before a change must be in force (3 s).
  std::chrono::milliseconds read_after{2200};
  /// Pause between questions while the view is too old.
  std::chrono::milliseconds ask_every{250};
  /// Pause between digests that only keep the roster alive.
  std::chrono::milliseconds greet_every{1000};
  /// A first answer of the store takes 30 ms; who has waited this long asks
  /// its peers as well.
  std::chrono::milliseconds patience{150};
  /// How long an instance that isn't a seed leaves a large listing to others
  /// when it has no view: reading 3,000 targets takes a seed one to two
  /// seconds, and a copy reaches a domain of 100 in about one more.
  std::chrono::milliseconds leave_listing{4000};
};

/// The limits at a pace.
SyncLimits SyncLimitsFor(const NewsPace& pace);

/// Why an instance reads the store itself.
enum class StoreReading : std::uint8_t {
  kNone,
  /// Nobody has told it anything for a while. Its domain's readers are trying
  /// as well, and will tell it.
  kSubstitute,
  /// Others depend on it, or it can't serve without.
  kNeeded,
};

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
  /// The store has begun to list more than a small deployment publishes.
  void OnLargeListing(std::chrono::milliseconds now);
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
  PeerDigest MakeDigest(std::chrono::milliseconds now);
  /// Whether the view is too old, or the own reading of the store fails.
  bool NeedsPeers(std::chrono::milliseconds now) const;
  bool IsReader(std::chrono::milliseconds now) const;
  bool IsSeed() const;
  void TakeMark(const ViewMark& mark, std::chrono::milliseconds now);
  SyncActions TellFollowers(std::span<const ItemDelta> changes,
                            std::chrono::milliseconds now);
  /// The own view has what the store or a peer has told.
  SyncActions OnNews(common::Revision before, std::chrono::milliseconds now);
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
  Roster roster;
  bool leaving{false};
  bool pulling{false};
  std::vector<common::Endpoint> owed;  ///< To be told by this instance.
  /// The revision that the owed members are assumed to have.
  common::Revision owed_base_revision;
  /// The revision that the own view must reach before they are told.
  common::Revision owed_revision;
  unsigned redirects{0};  ///< In a row, without a copy.
  /// Until when a large listing is left to others.
  std::chrono::milliseconds listing_left_until{0};
  std::chrono::milliseconds asked_at{0};
  std::chrono::milliseconds greeted_at{0};
};

}  // namespace sassafrasdyke::core
