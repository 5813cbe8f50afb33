/// Synchronizes views between instances: decides which instances read the
/// store, which digests they send, and from whom an instance fetches its view
/// if the store doesn't serve it.
///
/// If every instance watched the store, its calls would grow in proportion to
/// the fleet, while the store's permitted rate grows more slowly. So a few
/// instances of each failure domain, its readers, watch the store and notify
/// the others, their followers. A follower that isn't notified in time reads
/// the store itself. So if instances disagree on who the readers are, that
/// costs calls, but views don't get older.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "common/address.h"
#include "core/fleet/jitter.h"
#include "core/roster/copy_pull.h"
#include "core/roster/peer_digest.h"
#include "core/roster/reading_plan.h"
#include "core/roster/roster.h"
#include "core/roster/sync_limits.h"
#include "core/roster/view_comparison.h"
#include "core/view/live_view.h"

namespace sassafrasdyke::core {

/// A digest to send, and its receiver.
struct DigestOut {
  common::Endpoint to;
  PeerDigest digest;
};

/// What the caller must do after an event.
struct SyncActions {
  std::vector<DigestOut> digests;
  /// Request the changes after `PeerSync::PullsAfter` from this instance, over
  /// a stream.
  std::optional<common::Endpoint> pull;
};

/// What an instance whose view is too old has heard, and what it waits for.
struct LateView {
  std::chrono::milliseconds age{0};
  /// Since a digest of any peer; nothing before the first one.
  std::optional<std::chrono::milliseconds> last_digest_ago = std::nullopt;
  /// The highest revision of a peer's view in a digest.
  common::Revision highest_heard = {};
  CopyState copy{CopyState::kNone};
  StoreReading reading{StoreReading::kNone};
  /// Until it may read the store as a substitute; 0 once it may.
  std::chrono::milliseconds substitute_in{0};
};

/// The synchronization state of one instance. Times are monotonic.
class PeerSync {
 public:
  /// Those who add observations to digests and take those of peers.
  using Observers = std::vector<ObservationExchange*>;

  /// `view` and `observers` must outlive this. `seed` affects only random
  /// choices.
  PeerSync(RosterSelf self, const std::vector<common::Endpoint>& seeds,
           LiveView& view, const SyncLimits& limits, std::uint64_t seed,
           Observers observers = {})
      : view(view),
        limits(limits),
        observers(std::move(observers)),
        jitter(seed),
        pull(self.address),
        plan(limits, seed),
        roster(std::move(self), seeds) {}

  /// Sends digests to the seeds, so that this instance becomes known at once.
  SyncActions OnStart(std::chrono::milliseconds now);
  /// Called about ten times a second.
  SyncActions OnTick(std::chrono::milliseconds now);
  SyncActions OnDigest(const PeerDigest& digest, std::chrono::milliseconds now);
  /// This instance has read the store. Its view was at revision `before`; the
  /// store had changes after it, or confirmed that there are none.
  SyncActions OnStoreRead(common::Revision before,
                          std::chrono::milliseconds now);
  /// A copy of another instance's items has arrived.
  SyncActions OnPulled(ItemDelta delta, const ViewStatus& status,
                       std::chrono::milliseconds now);
  /// The revision after which a copy must hold the changes; 0: a full copy.
  common::Revision PullsAfter() const {
    return this->pull.Full() ? common::Revision{}
                             : this->view.Items().Complete();
  }
  /// The request for a copy failed. `instead`: the redirect target, if any.
  SyncActions OnPullFailed(const std::optional<common::Endpoint>& instead);
  /// The source is busy serving other copies. Without a redirect target
  /// `instead`, the request is repeated at the next tick.
  SyncActions OnPullRefused(const std::optional<common::Endpoint>& instead);
  /// An own call of the store failed.
  void OnStoreFailure(std::chrono::milliseconds now);
  /// Sends observations that the audience should have before the next digests.
  SyncActions SendObservations(UrgentReceivers audience,
                               std::chrono::milliseconds now);
  /// This instance is shutting down.
  void OnLeave() { this->leaving = true; }
  void SetSeeds(const std::vector<common::Endpoint>& seeds) {
    this->roster.SetSeeds(seeds);
  }

  /// Whether, and why, this instance must read the store itself now.
  StoreReading Reading(std::chrono::milliseconds now) const;
  bool ShouldRead(std::chrono::milliseconds now) const {
    return this->Reading(now) != StoreReading::kNone;
  }
  /// Why the own view is too old; nothing if it isn't.
  std::optional<LateView> Late(std::chrono::milliseconds now) const;
  /// Revision and age of the own view, as sent to peers.
  ViewStatus Status(std::chrono::milliseconds now) const;
  const Roster& Members() const { return this->roster; }

 private:
  SyncActions QuerySeeds(std::chrono::milliseconds now);
  /// Makes a digest without changes.
  PeerDigest MakeDigest(const common::Endpoint& receiver,
                        std::chrono::milliseconds now);
  /// Makes a digest without observations, so that changes fit.
  PeerDigest MakeBareDigest(const common::Endpoint& receiver,
                            std::chrono::milliseconds now);
  /// Makes a digest that asks for a reply.
  DigestOut MakeQuery(const common::Endpoint& receiver,
                      std::chrono::milliseconds now);
  ReadingRole Role(std::chrono::milliseconds now) const;
  /// Sends each reader of the domain one query for its view. A reader without a
  /// view learns of this instance and notifies it once it has one.
  SyncActions QueryReaders(std::chrono::milliseconds now);
  std::chrono::milliseconds HeartbeatInterval() const;
  /// Whether the view is too old, or own calls of the store fail.
  bool NeedsPeers(std::chrono::milliseconds now) const;
  bool IsReader(std::chrono::milliseconds now) const;
  bool IsSeed() const;
  /// Whether the own view differs from the sender's at the same revision, and
  /// from those of enough others.
  bool MustReplaceView(const PeerDigest& digest, std::chrono::milliseconds now);
  /// Replies to a sender whose digest asks for it.
  void AppendAnswer(const PeerDigest& digest, std::chrono::milliseconds now,
                    SyncActions& actions);
  void RecordStoreReturn(const ViewStatus& status,
                         std::chrono::milliseconds now);
  /// Treats the store as unreachable if the sender is a reader whose view is
  /// old.
  void DetectStoreOutage(const PeerDigest& digest,
                         std::chrono::milliseconds now);
  /// Clears `relay_queue` unless a copy is pending.
  void ClearRelayUnlessPulling();
  SyncActions NotifyFollowers(std::span<const ItemDelta> changes,
                              std::chrono::milliseconds now);
  /// The store or a peer has brought the own view up from revision `before`, or
  /// confirmed it.
  SyncActions OnViewChanged(common::Revision before, bool notify_followers,
                            std::chrono::milliseconds now);
  SyncActions NotifyThroughRelays(const Followers& followers,
                                  std::span<const ItemDelta> changes,
                                  std::chrono::milliseconds now);
  /// Makes one digest for each member and part of the changes; one for each
  /// member if there are no changes.
  SyncActions MakeDigests(std::span<const common::Endpoint> members,
                          std::span<const ItemDelta> changes,
                          std::chrono::milliseconds now);
  /// Queues the members to which the digest asks this instance to relay.
  /// `before`: the own revision before the digest was applied.
  void QueueRelay(const PeerDigest& digest, common::Revision before);
  /// Notifies the queued members once the own view has reached
  /// `relay_revision`.
  SyncActions SendRelay(std::chrono::milliseconds now);

  LiveView& view;
  const SyncLimits limits;
  const Observers observers;
  Jitter jitter;
  CopyPull pull;
  ReadingPlan plan;
  ViewComparison comparison;
  Roster roster;
  bool leaving{false};
  /// Of the peers' views.
  common::Revision highest_heard;
  /// Readers that `QueryReaders` has sent a query.
  std::vector<common::Endpoint> queried_readers;
  /// Members that this instance must notify.
  std::vector<common::Endpoint> relay_queue;
  /// The revision that these members are assumed to have.
  common::Revision relay_base_revision;
  /// The revision that the own view must reach before they are notified.
  common::Revision relay_revision;
  std::chrono::milliseconds last_query_at{0};
  std::chrono::milliseconds last_heartbeat_at{0};
};

}  // namespace sassafrasdyke::core
