/// The messages instances send each other, as values. The peer codec turns
/// them into bytes; the core never sees bytes.
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

/// A part of a document, named by a path such as "targets/105". The core does
/// not look into the body.
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

/// What an instance has of one document.
struct DocumentDigest {
  DocumentKind kind{DocumentKind::kConfiguration};
  common::Revision revision;
  std::uint64_t digest{0};  ///< Hash over the sorted entries.

  friend bool operator==(const DocumentDigest&,
                         const DocumentDigest&) = default;
};

/// Sent by a watcher and answered by the watched one.
struct Heartbeat {
  common::Incarnation incarnation;
  std::uint64_t sequence{0};
  bool answer{false};   ///< True when it replies to a heartbeat.
  bool leaving{false};  ///< The sender is stopping.
  bool stale{false};    ///< The sender's lease has run out.
  std::vector<DocumentDigest> digests;
  std::uint64_t members{0};  ///< Hash over the member reports it holds.
  std::uint64_t health{0};   ///< Hash over the target health it holds.
};

/// What one instance says of another, or of itself.
enum class MemberWord : std::uint8_t {
  kAlive = 0,
  kSuspected = 1,  ///< Only a watcher says so.
  kLeaving = 2,    ///< Only the instance itself says so.
};

/// One instance's word on an instance, passed on unchanged to everybody. Of
/// two reports with the same `about` and `by`, the greater (`incarnation`,
/// `version`) wins.
struct MemberReport {
  common::InstanceId about;
  common::Incarnation incarnation;  ///< Of `about`.
  common::InstanceId by;  ///< Equal to `about` when it speaks for itself.
  std::uint64_t version{0};
  /// The newest version of the instance's own word that `by` knew. A suspicion
  /// older than the instance's own word counts for nothing.
  std::uint64_t own_version{0};
  MemberWord word{MemberWord::kAlive};

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// What one instance with links to another failure domain says of that domain.
/// Spread inside the speaker's own domain; the greater version wins.
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

/// What a prober has seen of a target.
enum class TargetHealth : std::uint8_t {
  kUnknown = 0,
  kHealthy = 1,
  kShedding = 2,  ///< Says that it takes less; new flows avoid it.
  kFailing = 3,
};

/// A change of a target's state, passed on once. Higher versions win.
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

/// One flow that is not at its partition's fallback.
struct FlowException {
  common::Fingerprint flow;
  common::TargetId target;

  friend bool operator==(const FlowException&, const FlowException&) = default;
};

/// Copies a partition's exceptions from its owner to another instance.
/// Applied only in order of `sequence` within one `generation` of one sender's
/// life; a gap is answered with a request for the whole partition. A generation
/// starts with the whole set: messages with `whole`, and one without that ends
/// it. Only then does the receiver give up the generation before.
struct ExceptionCopy {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the sender.
  std::uint64_t generation{0};      ///< Grows when the fallback changes.
  std::uint64_t sequence{0};        ///< From 0 within the generation.
  /// Where flows that no message names are; 0 when the sender doesn't know.
  common::TargetId fallback;
  bool whole{false};  ///< Part of a whole set that is not yet complete.
  bool last{false};   ///< Ends a hand-over: the receiver knows everything.
  std::vector<FlowException> added;
  std::vector<common::Fingerprint> ended;
};

/// Confirms copies up to and including `sequence`.
struct ExceptionCopyAck {
  PartitionKey partition;
  common::Incarnation incarnation;  ///< Of the owner that sent the copies.
  std::uint64_t generation{0};
  std::uint64_t sequence{0};
  bool resend_whole{false};  ///< Something is missing.
};

/// Sent with the end of a hand-over, by an owner that gives up to the receiver
/// directly. The receiver may then say of a flow that it doesn't know whether a
/// SYN of it was forwarded. Without the message it has to wait until all
/// earlier SYNs are outdated.
struct OpeningsKnown {
  PartitionKey partition;
  /// For how long the sender has known of every SYN of the partition.
  std::chrono::milliseconds known_for{0};
};

/// Every message between instances. The position is the kind's number on the
/// wire, so new kinds go to the end.
using PeerMessage =
    std::variant<Heartbeat, MemberReport, DocumentRequest, DocumentDelta,
                 DocumentCopy, TargetHealthChange, ExceptionCopy,
                 ExceptionCopyAck, ReachabilityReport, OpeningsKnown>;

/// Whether the messages of a kind are for the balancer of flows; all others are
/// for the fleet.
template <typename Message>
inline constexpr bool kIsForFlows = std::is_same_v<Message, ExceptionCopy> ||
                                    std::is_same_v<Message, ExceptionCopyAck> ||
                                    std::is_same_v<Message, OpeningsKnown>;

/// A message with its destination.
struct OutgoingMessage {
  common::InstanceId to;
  PeerMessage message;
};

}  // namespace sassafrasdyke::core
