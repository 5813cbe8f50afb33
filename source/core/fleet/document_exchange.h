/// Brings documents from peer to peer: changes are pushed, gaps are asked for.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/fleet/backoff.h"
#include "core/fleet/documents_in_force.h"
#include "core/fleet/jitter.h"
#include "core/fleet/retry_budget.h"
#include "core/fleet/turn.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// What the exchange counted since the start.
struct ExchangeCounts {
  std::uint64_t deltas_refused{0};
  std::uint64_t digest_conflicts{0};
};

/// The document traffic of one instance.
class DocumentExchange {
 public:
  /// `documents` must outlive it.
  DocumentExchange(DocumentsInForce& documents, std::uint64_t seed);

  /// A peer has told what it has. Asks it when that is newer.
  void OnDigests(common::InstanceId peer,
                 const std::vector<DocumentDigest>& digests, const Turn& turn);

  /// Each takes a message; true when a newer document is now in force.
  bool OnDelta(common::InstanceId peer, const DocumentDelta& delta,
               const Turn& turn);
  bool OnCopy(common::InstanceId peer, const DocumentCopy& copy,
              const Turn& turn);

  /// Answers a peer that asks.
  void OnRequest(common::InstanceId peer, const DocumentRequest& request,
                 const Turn& turn);

  /// Sends the change that led here to a peer that lacks it, now or as soon as
  /// the budget allows. False when the peer must ask for it instead, because
  /// what it has is unknown or the change is large.
  bool Push(common::InstanceId peer, DocumentKind kind, const Turn& turn);

  /// Gives up on peers that don't answer and asks others.
  void OnTick(const Turn& turn);

  /// Forgets peers that aren't in `listed` (sorted by id).
  void KeepOnly(const std::vector<Instance>& listed);

  const ExchangeCounts& Counts() const { return this->counts; }
  std::uint64_t RetriesDenied() const { return this->retries.Denied(); }
  /// What `peer` was last known to have.
  DocumentDigest KnownOf(common::InstanceId peer, DocumentKind kind) const;

 private:
  /// The search for a newer document of one kind.
  struct Search {
    std::optional<common::InstanceId> asked;
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds not_before{0};
    Backoff backoff{BackoffLimits{}};
  };
  using Known = std::array<DocumentDigest, 2>;
  /// A peer whose change the budget has held back.
  struct Owed {
    common::InstanceId peer;
    DocumentKind kind{DocumentKind::kConfiguration};

    friend bool operator==(const Owed&, const Owed&) = default;
  };

  bool Newer(const DocumentDigest& theirs) const;
  void Ask(common::InstanceId peer, const DocumentDigest& have,
           const Turn& turn);
  void AskAgain(DocumentKind kind, const Turn& turn);
  bool Finish(OfferOutcome outcome, DocumentKind kind, const Turn& turn);
  void Owe(common::InstanceId peer, DocumentKind kind);
  void PushOwed(const Turn& turn);
  void Learn(common::InstanceId peer, const DocumentDigest& digest);

  DocumentsInForce& documents;
  Jitter jitter;
  RetryBudget retries;
  std::array<Search, 2> searches;
  std::map<common::InstanceId, Known> known;
  std::vector<Owed> owed;
  ExchangeCounts counts;
  std::chrono::milliseconds quiet_since{0};
};

}  // namespace sassafrasdyke::core
