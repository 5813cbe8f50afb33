/// Simulates a fleet whose instances all start at the same time without a view.
/// Models the bandwidth of the store's link and of each instance's link.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/fleet/backoff.h"
#include "core/roster/peer_sync.h"
#include "core/view/sample_publication.h"

namespace sassafrasdyke::core {

/// Parameters of a simulation. Transfer sizes match 1,400 routes and 1,000
/// targets.
struct FleetStart {
  std::size_t instances{300};
  std::size_t domains{5};
  bool large_view{true};      ///< Its listing exceeds the limit of a probe.
  std::size_t seeds_down{0};  ///< Of three.
  /// Latency of a call of the store, without the transfer.
  std::chrono::milliseconds store_latency{4};
  double answers_lost{0};          ///< Fraction of the store's answers.
  double instances_refused{0};     ///< Fraction of the instances.
  std::size_t refused_domains{0};  ///< All instances of the first domains.
  /// The store refuses all calls from this time on, for `store_away_for`.
  std::chrono::milliseconds store_away_from{0};
  std::chrono::milliseconds store_away_for{0};
  std::uint64_t seed{1};
};

/// Results of a simulation.
struct FleetStartOutcome {
  /// The longest time from an instance's start to its first view; nothing if
  /// an instance got no view.
  std::optional<std::chrono::milliseconds> slowest;
  std::uint64_t store_calls{0};    ///< In ten seconds.
  std::uint64_t refused_calls{0};  ///< Of these, while the store was away.
};

/// Simulates the first ten seconds.
class FleetStartModel {
 public:
  explicit FleetStartModel(const FleetStart& start);
  FleetStartOutcome Run();

 private:
  using Time = std::chrono::milliseconds;
  using NodeId = std::size_t;

  /// A transfer from the store or from another instance.
  struct Transfer {
    Time starts_at{0};  ///< When the first byte is sent.
    double bytes{0};    ///< Remaining.
    bool lost{false};   ///< No byte ever arrives.
  };
  struct Call {
    Transfer page;
    Time stalls_at{0};
  };
  struct CopyTransfer {
    Transfer bytes;
    NodeId from{0};
    bool refused{false};
    ItemDelta delta;
    ViewStatus status;
  };
  struct Node {
    explicit Node(const Publication& publication, std::uint64_t seed)
        : view(publication, std::chrono::seconds(60)), jitter(seed) {}

    LiveView view;
    std::unique_ptr<PeerSync> sync;
    Jitter jitter;
    Backoff retries{BackoffLimits{}};
    StoreReading reading{StoreReading::kNone};
    Time starts_at{0};
    bool started{false};
    bool refused{false};
    bool reading_checked{false};  ///< At `SyncLimits::probe_after`.
    std::optional<Time> usable_at;
    std::size_t pages{0};  ///< Of the listing, received so far.
    std::optional<Call> call;
    Time calls_at{0};
    std::optional<CopyTransfer> copy;
    std::vector<NodeId> receivers;
    Time ticks_at{0};
  };
  struct Message {
    Time at{0};
    DigestOut out;
  };

  void Step();
  void Start(NodeId id);
  void Dispatch(NodeId from, SyncActions actions);
  void Deliver();
  void ChooseReading(Node& node);
  void Read(NodeId id);
  void OnCallFailed(Node& node);
  bool StoreIsAway() const;
  void OnPage(NodeId id);
  void Pull(NodeId receiver, NodeId source_id);
  void AdvanceTransfers();
  void FinishCopy(NodeId id);
  void NoteUsable(NodeId id);
  Time DelayBetween(NodeId one, NodeId other) const;
  NodeId IdOf(const common::Endpoint& address) const;
  /// True with this probability.
  bool Chance(double probability);

  const FleetStart start;
  SamplePublication publication;
  ItemStore store;
  Jitter jitter;
  Time now{0};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Message> in_flight;
  std::uint64_t store_calls{0};
  std::uint64_t refused_calls{0};
};

}  // namespace sassafrasdyke::core
