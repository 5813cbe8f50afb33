/// The fleet side of the core: which documents are in force, which instances
/// are alive, and whether this instance holds its lease. It does no I/O and
/// reads no clock.
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

/// One error in a document.
struct DocumentFault {
  std::string path;  ///< JSON path, such as "/services/diary/address".
  std::string what;  ///< One human-readable sentence.

  friend bool operator==(const DocumentFault&, const DocumentFault&) = default;
};

/// All errors of a refused document.
using DocumentFaults = std::vector<DocumentFault>;

/// Parses and validates documents. source/config implements it; the core only
/// knows that some documents are refused.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  virtual tl::expected<Configuration, DocumentFaults> ReadConfiguration(
      const Document& document) const = 0;
  virtual tl::expected<InstanceList, DocumentFaults> ReadInstances(
      const Document& document) const = 0;

  /// Why `next` may not replace `in_force`, though each is valid by itself: the
  /// fleet's name, the hash seed and a service's partitions are immutable.
  /// Empty when it may.
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

/// A revision was refused as a whole; the one in force stays.
struct DocumentRefused {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  DocumentFaults faults;
};

/// The use of an instance changed in this instance's view.
struct MemberChanged {
  common::InstanceId about;
  InstanceUse use{InstanceUse::kOwner};
  std::vector<common::InstanceId> confirmed_by;
};

/// This instance's lease changed.
struct LeaseChanged {
  Lease lease{Lease::kHeld};
};

/// An entry of the decision log about the fleet.
using FleetDecision = std::variant<DocumentAccepted, DocumentRefused,
                                   MemberChanged, LeaseChanged>;

/// The results of one call into the fleet. The caller processes and clears it.
struct FleetOutbox {
  std::vector<OutgoingMessage> messages;
  std::vector<FleetDecision> decisions;
  /// Set when the configuration in force changed.
  std::shared_ptr<const Configuration> configuration;
  /// Set when the view of the fleet changed.
  std::optional<FleetView> view;
  /// Target health changes that are new here, for the flow side. The flow side
  /// takes them from here only, not from the peers' messages.
  std::vector<TargetHealthChange> health;
};

/// The identity of this instance.
struct SelfIdentity {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
};

/// The bandwidth budgets of control traffic.
enum class MessageBudget : std::uint8_t {
  kHeartbeats,
  kMembers,  ///< Member and reachability reports.
  kDeltas,
  kRequests,
  kHealth,
  kCopies,  ///< Whole documents; not part of the published budget.
};
inline constexpr std::size_t kMessageBudgets = 6;

/// Use of one budget since the process started.
struct BudgetStatus {
  MessageBudget budget{MessageBudget::kHeartbeats};
  std::uint64_t messages{0};
  std::uint64_t bytes{0};    ///< Estimated, see `EstimatedBytes`.
  std::uint64_t limited{0};  ///< Messages that couldn't be sent at once.
  std::uint64_t dropped{0};  ///< Messages never sent.
  std::size_t waiting{0};    ///< Messages queued now.
};

/// What this instance knows of one member.
struct MemberStatus {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
  InstanceUse use{InstanceUse::kOwner};
  /// Instances that suspect it now, whether or not that is confirmed.
  std::vector<common::InstanceId> suspected_by;
  /// Its document revisions as last known here; 0 when unknown.
  common::Revision configuration;
  common::Revision instances;
};

/// The state and counters of the fleet, for metrics and status pages.
struct FleetStatus {
  DocumentDigest configuration;
  DocumentDigest instances;
  Lease lease{Lease::kHeld};
  bool reader{false};  ///< Chosen to hold a watch on the platform.
  std::uint64_t documents_refused{0};
  std::uint64_t messages_limited{0};  ///< Not sent at once, over budget.
  std::uint64_t deltas_refused{0};    ///< Wrong base, digest or order.
  std::uint64_t digest_conflicts{0};  ///< Same revision, different content.
  std::uint64_t unlisted_ignored{0};  ///< Messages from unlisted instances.
  std::uint64_t retries_denied{0};    ///< By the retry budget.
  std::vector<MemberStatus> members;
  std::vector<common::DomainId> unreachable;
  std::vector<BudgetStatus> budgets;
  /// The last refused document of each kind, newest last.
  std::vector<DocumentRefused> refusals;
};

/// The interface that the control task drives. All times are monotonic and
/// count from the start of the process.
class Fleet {
 public:
  virtual ~Fleet() = default;

  /// Handles a document that was read from the platform; an older revision is
  /// ignored, an invalid one refused as a whole.
  virtual void OnPlatformDocument(const Document& document,
                                  std::chrono::milliseconds now,
                                  FleetOutbox& outbox) = 0;

  /// The platform answered (perhaps with nothing new), or failed to. These
  /// answers renew the lease, and for an instance without peers nothing else
  /// does, so a watch should be answered or renewed within half the lease.
  virtual void OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                                FleetOutbox& outbox) = 0;

  /// Handles a message of a listed peer; messages of unlisted senders and
  /// messages for the flow side are ignored.
  virtual void OnPeerMessage(common::InstanceId from,
                             const PeerMessage& message,
                             std::chrono::milliseconds now,
                             FleetOutbox& outbox) = 0;

  /// Handles a result of this instance's own prober.
  virtual void OnTargetProbed(common::TargetId target, TargetHealth health,
                              std::chrono::milliseconds now,
                              FleetOutbox& outbox) = 0;

  /// Does periodic work: heartbeats, suspicions, leases, digests. Called about
  /// 10 times a second.
  virtual void OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) = 0;

  /// This instance was told to stop; can't be undone.
  virtual void OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) = 0;

  /// Whether this instance should hold a watch on the platform now: until it
  /// has both documents and is listed, and later while it is one of its failure
  /// domain's readers or its lease isn't being renewed.
  virtual bool WatchesPlatform() const = 0;

  /// The instance list in force, for connecting to and admitting peers.
  virtual const InstanceList& Instances() const = 0;

  virtual FleetStatus Status() const = 0;
};

/// Creates the fleet implementation. `reader` must outlive it; `seed` affects
/// jitter only.
std::unique_ptr<Fleet> MakeFleet(const SelfIdentity& self,
                                 const DocumentReader& reader,
                                 std::uint64_t seed);

}  // namespace sassafrasdyke::core
