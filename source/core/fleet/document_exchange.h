/// Distributes documents between peers: changes are pushed, and an instance
/// that lacks one requests it.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/fleet/backoff.h"
#include "core/fleet/call_context.h"
#include "core/fleet/documents_in_force.h"
#include "core/fleet/jitter.h"
#include "core/fleet/retry_budget.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Counters since the process started.
struct ExchangeCounts {
  std::uint64_t deltas_refused{0};
  std::uint64_t digest_conflicts{0};
};

/// The document traffic of one instance.
class DocumentExchange {
 public:
  /// `documents` must outlive it.
  DocumentExchange(DocumentsInForce& documents, std::uint64_t seed);

  /// Handles the digests of a peer's documents; requests what is newer there.
  void OnDigests(common::InstanceId peer,
                 const std::vector<DocumentDigest>& digests,
                 const CallContext& context);

  /// Handles a document message; true when a newer document is now in force.
  bool OnDelta(common::InstanceId peer, const DocumentDelta& delta,
               const CallContext& context);
  bool OnCopy(common::InstanceId peer, const DocumentCopy& copy,
              const CallContext& context);

  /// Answers a peer's request if the document here is newer.
  void OnRequest(common::InstanceId peer, const DocumentRequest& request,
                 const CallContext& context);

  /// Sends a delta to a peer whose document is older, now or as soon as the
  /// budget allows. False when the peer must request it instead, because its
  /// revision is unknown or the delta is large.
  bool Push(common::InstanceId peer, DocumentKind kind,
            const CallContext& context);

  /// Sends deferred pushes, times requests out and repeats them to other peers.
  void OnTick(const CallContext& context);

  /// Drops the state of peers that aren't in `listed` (sorted by id).
  void KeepOnly(const std::vector<Instance>& listed);

  const ExchangeCounts& Counts() const { return this->counts; }
  std::uint64_t RetriesDenied() const { return this->retries.Denied(); }
  /// What `peer` was last known to have; revision 0 when unknown.
  DocumentDigest KnownOf(common::InstanceId peer, DocumentKind kind) const;

 private:
  /// The requests for a newer document of one kind.
  struct Fetch {
    std::optional<common::InstanceId> peer;  ///< Set while it may answer.
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds not_before{0};
    Backoff backoff{BackoffLimits{}};
  };
  /// The digests of both documents, by kind.
  using DigestPair = std::array<DocumentDigest, 2>;
  /// A push that the budget didn't allow yet.
  struct DeferredPush {
    common::InstanceId peer;
    DocumentKind kind{DocumentKind::kConfiguration};

    friend bool operator==(const DeferredPush&, const DeferredPush&) = default;
  };

  bool IsNewer(const DocumentDigest& theirs) const;
  void SendRequest(common::InstanceId peer, const DocumentDigest& have,
                   const CallContext& context);
  void RetryFetch(DocumentKind kind, const CallContext& context);
  bool EndFetch(OfferOutcome outcome, DocumentKind kind,
                const CallContext& context);
  void DeferPush(common::InstanceId peer, DocumentKind kind);
  void PushDeferred(const CallContext& context);
  void SetKnown(common::InstanceId peer, const DocumentDigest& digest);

  DocumentsInForce& documents;
  Jitter jitter;
  RetryBudget retries;
  std::array<Fetch, 2> fetches;
  std::map<common::InstanceId, DigestPair> known;
  std::vector<DeferredPush> deferred;
  ExchangeCounts counts;
  std::chrono::milliseconds last_earned{0};  ///< Last `EarnRetry`.
};

}  // namespace sassafrasdyke::core
