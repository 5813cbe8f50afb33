/// The messages that instances send each other, as structs. The peer codec
/// serialises them; the core never handles bytes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// The two documents that the platform publishes.
enum class DocumentKind : std::uint8_t { kConfiguration = 0, kInstances = 1 };

/// A part of a document, named by a path such as "targets/105". The core
/// doesn't parse the body.
struct DocumentEntry {
  std::string path;
  std::string body;  ///< JSON text of the part.

  friend bool operator==(const DocumentEntry&, const DocumentEntry&) = default;
};

/// One whole revision of a document, entries sorted by path.
struct Document {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  std::vector<DocumentEntry> entries;

  friend bool operator==(const Document&, const Document&) = default;
};

/// The revision of one document that an instance has, and a hash of its
/// content.
struct DocumentDigest {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  std::uint64_t digest{0};  ///< Hash over the sorted entries.

  friend bool operator==(const DocumentDigest&,
                         const DocumentDigest&) = default;
};

/// A heartbeat request or its answer. A watcher sends requests to the instances
/// that it watches; an answer repeats the request's sequence.
struct Heartbeat {
  common::Incarnation incarnation;
  std::uint64_t sequence{0};
  bool answer{false};   ///< True when it replies to a heartbeat.
  bool leaving{false};  ///< The sender is stopping.
  bool stale{false};    ///< The sender's lease has expired.
  std::vector<DocumentDigest> digests;
  std::uint64_t members{0};  ///< Hash over the sender's member reports.
  /// Hash over the sender's target health and reachability reports.
  std::uint64_t health{0};
};

/// The state that one instance reports of another, or of itself.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspected = 1,  ///< Reported by watchers only.
  kLeaving = 2,    ///< Reported by the instance itself only.
};

/// One instance's report on an instance, relayed unchanged to the whole fleet.
/// Of two reports with the same `about` and `by`, the greater (`incarnation`,
/// `version`) wins.
struct MemberReport {
  common::InstanceId about;
  common::Incarnation incarnation;  ///< Of `about`.
  common::InstanceId by;            ///< Equal to `about` in a report on itself.
  std::uint64_t version{0};
  /// The newest version of the subject's report on itself that `by` knew. A
  /// suspicion with an older one is refuted.
  std::uint64_t self_report_version{0};
  MemberState state{MemberState::kAlive};

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// Whether an instance that holds a link to another failure domain reaches that
/// domain. Relayed inside the reporter's own domain; the greater version wins.
struct ReachabilityReport {
  common::DomainId domain;
  common::InstanceId by;
  std::uint64_t version{0};
  bool reachable{true};

  friend bool operator==(const ReachabilityReport&,
                         const ReachabilityReport&) = default;
};

/// Asks for a document; the answer is a delta or a whole copy.
struct DocumentRequest {
  DocumentKind kind{DocumentKind::kConfiguration};
  /// What the sender has; revision 0 asks for a whole copy.
  DocumentDigest have;
};

/// The change from one revision to a later one.
struct DocumentDelta {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision from;
  common::Revision to;
  std::uint64_t digest{0};  ///< Of the document after the change.
  std::vector<DocumentEntry> changed;
  std::vector<std::string> removed;
};

/// A whole copy.
struct DocumentCopy {
  Document document;
  std::uint64_t digest{0};
};

/// The health of a target as a prober determined it.
enum class TargetHealth : std::uint8_t {
  kUnknown = 0,
  kHealthy = 1,
  kShedding = 2,  ///< The target asks for less load; new flows avoid it.
  kFailing = 3,
};

/// A change of a target's health, relayed once by each instance. The greater
/// version wins.
struct TargetHealthChange {
  common::TargetId target;
  TargetHealth health{TargetHealth::kUnknown};
  std::uint64_t version{0};
  common::InstanceId seen_by;
};

/// Names one partition of one service.
struct PartitionKey {
  common::ServiceId service;
  common::PartitionNumber partition;

  // NOLINTNEXTLINE(modernize-use-nullptr): see common::Id.
  friend auto operator<=>(const PartitionKey&, const PartitionKey&) = default;
};

/// One flow that is at another target than its partition's fallback.
struct FlowException {
  common::Fingerprint flow;
  common::TargetId target;

  friend bool operator==(const FlowException&, const FlowException&) = default;
};

/// Replicates a partition's exceptions from its owner to another instance.
/// Applied only in order of `sequence` within one `generation` of one sender
/// incarnation; a gap is answered with a request for the whole partition. A
/// generation starts with the whole set: messages with `whole`, then one
/// without. Only after that does the receiver discard the previous generation.
struct ExceptionCopy {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the sender.
  std::uint64_t generation{0};      ///< Grows when the fallback changes.
  std::uint64_t sequence{0};        ///< From 0 within the generation.
  /// The target of flows without an exception; 0 when the sender doesn't know.
  common::TargetId fallback;
  bool whole{false};  ///< More messages of the whole set follow.
  bool last{false};   ///< Ends a state transfer: the receiver has all of it.
  std::vector<FlowException> added;
  std::vector<common::Fingerprint> ended;
};

/// Acknowledges copies up to and including `sequence`.
struct ExceptionCopyAck {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the owner that sent the copies.
  std::uint64_t generation{0};
  std::uint64_t sequence{0};
  bool resend_whole{false};  ///< Asks for the whole set: a copy is missing.
};

/// Sent at the end of a state transfer, by an owner that hands its partition
/// directly to the receiver. The receiver then knows of every SYN that was
/// forwarded in the last `known_for`. Without the message it must wait until
/// all earlier SYNs have expired before it can tell whether a SYN of a flow was
/// forwarded.
struct OpeningsKnown {
  PartitionKey partition;
  /// For how long the sender has recorded every SYN of the partition.
  std::chrono::milliseconds known_for{0};
};

/// Makes the receiver the owner of a partition: the sender has stopped to
/// decide about it. Repeated until the hand-over has ended, so the receiver
/// ignores a number that it has seen.
struct OwnershipGrant {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the sender.
  common::GrantNumber number;
  /// For how long the sender has recorded every SYN of the partition, as in
  /// `OpeningsKnown`; 0 if it can't say. Holds once the hand-over has ended.
  std::chrono::milliseconds openings_known_for{0};
};

/// Answers a repeated grant: the receiver has everything that the sender of the
/// grant had to hand over, and its acknowledgement of that was lost.
struct OwnershipGrantAck {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the sender of the grant.
  common::GrantNumber number;
};

/// Asks for the owner of a partition. The sender's view designates it as the
/// owner, but no other instance has granted it the ownership yet.
struct OwnerRequest {
  PartitionKey partition;
};

/// What an instance knows of the owner of a partition.
enum class OwnerKnowledge : std::uint8_t {
  kSelf = 0,       ///< The instance is the owner.
  kGranted = 1,    ///< It has granted the ownership to another.
  kSearching = 2,  ///< Its view designates it, and it searches for the owner.
  kNone = 3,       ///< It has never been the owner.
  kLost = 4,       ///< It has granted the ownership to one that has failed.
};

/// Answers an `OwnerRequest`.
struct OwnerReply {
  PartitionKey partition;
  OwnerKnowledge knowledge{OwnerKnowledge::kNone};
  /// The instance that was granted the ownership, the owner as far as a
  /// searching instance knows, or the one that the view of another designates;
  /// 0 for none.
  common::InstanceId owner;
  /// Other instances that may have been the owner, the most likely ones first.
  std::vector<common::InstanceId> likely_owners;
};

/// Every message between instances. The index is the message's type number on
/// the wire, so new types go to the end.
using PeerMessage =
    std::variant<Heartbeat, MemberReport, DocumentRequest, DocumentDelta,
                 DocumentCopy, TargetHealthChange, ExceptionCopy,
                 ExceptionCopyAck, ReachabilityReport, OpeningsKnown,
                 OwnershipGrant, OwnershipGrantAck, OwnerRequest, OwnerReply>;

/// True for the message types that the flow balancer handles; the fleet handles
/// all others.
template <typename Message>
inline constexpr bool kIsFlowMessage =
    std::is_same_v<Message, ExceptionCopy> ||
    std::is_same_v<Message, ExceptionCopyAck> ||
    std::is_same_v<Message, OpeningsKnown> ||
    std::is_same_v<Message, OwnershipGrant> ||
    std::is_same_v<Message, OwnershipGrantAck> ||
    std::is_same_v<Message, OwnerRequest> ||
    std::is_same_v<Message, OwnerReply>;

/// A message with its destination.
struct OutgoingMessage {
  common::InstanceId to;
  PeerMessage message;
};

}  // namespace sassafrasdyke::core
