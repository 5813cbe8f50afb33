/// The fleet side of the core: which documents are in force, who is alive, and
/// whether this instance may still act on what it knows. No input or output,
/// no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/fleet_view.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// One thing that is wrong with a document.
struct DocumentFault {
  std::string path;  ///< JSON path, such as "/services/diary/address".
  std::string what;  ///< For a person, one sentence.

  friend bool operator==(const DocumentFault&, const DocumentFault&) = default;
};

/// Every fault of a refused document.
using DocumentFaults = std::vector<DocumentFault>;

/// Turns documents into checked, typed values. The configuration folder
/// implements it; the core only knows that some documents are refused.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  virtual tl::expected<Configuration, DocumentFaults> ReadConfiguration(
      const Document& document) const = 0;
  virtual tl::expected<InstanceList, DocumentFaults> ReadInstances(
      const Document& document) const = 0;

  /// What forbids that `next` follows `in_force`, though each is valid by
  /// itself: the fleet's name, the hash seed and a service's partitions are
  /// fixed. Empty when it may follow.
  virtual DocumentFaults CheckChange(const Configuration& /*in_force*/,
                                     const Configuration& /*next*/) const {
    return {};
  }
};

/// A newer revision was put in force.
struct DocumentAccepted {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  /// The peer it came from; 0 for the platform.
  common::InstanceId from;
};

/// A revision was refused whole; the one in force stays.
struct DocumentRefused {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  DocumentFaults faults;
};

/// An instance's use changed in this instance's eyes.
struct MemberChanged {
  common::InstanceId about;
  InstanceUse use{InstanceUse::kOwner};
  std::vector<common::InstanceId> confirmed_by;
};

/// This instance's lease changed.
struct LeaseChanged {
  Lease lease{Lease::kHeld};
};

/// A line of the decision log about the fleet.
using FleetDecision = std::variant<DocumentAccepted, DocumentRefused,
                                   MemberChanged, LeaseChanged>;

/// What one call left to be done. The caller empties it.
struct FleetOutbox {
  std::vector<OutgoingMessage> messages;
  std::vector<FleetDecision> decisions;
  /// Set when the configuration in force changed.
  std::shared_ptr<const Configuration> configuration;
  /// Set when the belief changed.
  std::optional<FleetView> view;
  /// Changes of targets that are new here, for the flow side. The flow side
  /// takes them from here only, not from the peers' messages.
  std::vector<TargetHealthChange> health;
};

/// What this instance is called and where it belongs.
struct SelfIdentity {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
};

/// The budgets of control traffic, one for each kind of message.
enum class MessageBudget : std::uint8_t {
  kHeartbeats,
  kMembers,  ///< Words on members and reachability.
  kDeltas,
  kRequests,
  kHealth,
  kCopies,  ///< Whole documents, apart from the published average.
};
inline constexpr std::size_t kMessageBudgets = 6;

/// What was used of one budget since the start.
struct BudgetStatus {
  MessageBudget budget{MessageBudget::kHeartbeats};
  std::uint64_t messages{0};
  std::uint64_t bytes{0};    ///< Estimated, see `EstimatedBytes`.
  std::uint64_t limited{0};  ///< Could not leave at once.
  std::uint64_t dropped{0};  ///< Never left.
  std::size_t waiting{0};
};

/// What is known of one instance of the list.
struct MemberStatus {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
  InstanceUse use{InstanceUse::kOwner};
  /// Who suspects it now, whether or not that is enough.
  std::vector<common::InstanceId> suspected_by;
  /// The revisions it last told this instance; 0 when it never did.
  common::Revision configuration;
  common::Revision instances;
};

/// Numbers a person or a metric asks for.
struct FleetStatus {
  DocumentDigest configuration;
  DocumentDigest instances;
  Lease lease{Lease::kHeld};
  bool reader{false};  ///< Chosen to hold the platform's watch.
  std::uint64_t documents_refused{0};
  std::uint64_t messages_limited{0};   ///< Held back by a token bucket.
  std::uint64_t deltas_refused{0};     ///< Wrong base, digest or order.
  std::uint64_t digest_conflicts{0};   ///< Same revision, other text.
  std::uint64_t strangers_ignored{0};  ///< Messages from unlisted instances.
  std::uint64_t retries_denied{0};     ///< By the retry budget.
  std::vector<MemberStatus> members;
  std::vector<common::DomainId> unreachable;
  std::vector<BudgetStatus> budgets;
  /// The last refused documents, newest last; at most one of each kind.
  std::vector<DocumentRefused> refusals;
};

/// The interface the control task drives. All times are monotonic, since
/// process start, and never fall.
class Fleet {
 public:
  virtual ~Fleet() = default;

  /// Takes a document that the platform's reader fetched; an older revision is
  /// ignored, an invalid one refused whole.
  virtual void OnPlatformDocument(const Document& document,
                                  std::chrono::milliseconds now,
                                  FleetOutbox& outbox) = 0;

  /// The platform answered (perhaps with nothing new), or failed to. An
  /// instance without peers lives on these answers, so a watch should be
  /// answered or renewed within half the lease.
  virtual void OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                                FleetOutbox& outbox) = 0;

  /// Takes a message of a peer that is on the instance list; messages for the
  /// flow side are ignored.
  virtual void OnPeerMessage(common::InstanceId from,
                             const PeerMessage& message,
                             std::chrono::milliseconds now,
                             FleetOutbox& outbox) = 0;

  /// Takes what this instance's own prober found of a target.
  virtual void OnTargetProbed(common::TargetId target, TargetHealth health,
                              std::chrono::milliseconds now,
                              FleetOutbox& outbox) = 0;

  /// Does periodic work: heartbeats, suspicion, leases, digests. Called about
  /// 10 times a second.
  virtual void OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) = 0;

  /// This instance was told to stop; irrevocable.
  virtual void OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) = 0;

  /// Whether this instance shall hold the platform's watch now: always until
  /// it has both documents, later only when it is one of its failure domain's
  /// readers or its peers are silent.
  virtual bool WatchesPlatform() const = 0;

  /// The instance list in force, for connecting to and admitting peers.
  virtual const InstanceList& Instances() const = 0;

  virtual FleetStatus Status() const = 0;
};

/// Makes the fleet of this product. `reader` must outlive it; `seed` varies
/// jitter only.
std::unique_ptr<Fleet> MakeFleet(const SelfIdentity& self,
                                 const DocumentReader& reader,
                                 std::uint64_t seed);

}  // namespace sassafrasdyke::core
