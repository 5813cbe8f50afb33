#include "core/fleet/document_exchange.h"

#include <algorithm>
#include <utility>

#include "core/fleet/document_digest.h"
#include "core/fleet/message_size.h"

namespace sassafrasdyke::core {
namespace {

/// Timeout of a request; a whole copy over a slow link takes this long.
constexpr std::chrono::milliseconds kRequestTimeout{1500};
/// Bytes of the largest delta that is pushed. Larger ones are only announced by
/// digest: a peer then fetches them from one neighbour, rather than getting
/// them from all.
constexpr std::size_t kMaxPushBytes = 4096;
constexpr std::chrono::milliseconds kRetryEarnInterval{std::chrono::seconds{5}};

std::size_t IndexOf(DocumentKind kind) {
  return kind == DocumentKind::kConfiguration ? 0 : 1;
}

constexpr std::array<DocumentKind, 2> kKinds{DocumentKind::kConfiguration,
                                             DocumentKind::kInstances};

bool IdLess(const Instance& instance, common::InstanceId id) {
  return instance.id.value < id.value;
}

}  // namespace

DocumentExchange::DocumentExchange(DocumentsInForce& documents,
                                   std::uint64_t seed)
    : documents(documents), jitter(seed) {}

void DocumentExchange::OnDigests(common::InstanceId peer,
                                 const std::vector<DocumentDigest>& digests,
                                 const CallContext& context) {
  for (const DocumentDigest& theirs : digests) {
    this->SetKnown(peer, theirs);
    const DocumentDigest& ours = this->documents.Store(theirs.kind).Digest();
    if (theirs.revision == ours.revision && theirs.digest != ours.digest) {
      ++this->counts.digest_conflicts;
    }
    const Fetch& fetch = this->fetches[IndexOf(theirs.kind)];
    if (this->IsNewer(theirs) && !fetch.peer &&
        context.now >= fetch.not_before) {
      this->retries.OnRequest();
      this->SendRequest(peer, ours, context);
    }
  }
}

bool DocumentExchange::OnDelta(common::InstanceId peer,
                               const DocumentDelta& delta,
                               const CallContext& context) {
  this->SetKnown(peer, {delta.kind, delta.to, delta.digest});
  if (this->documents.Refused({delta.kind, delta.to, delta.digest})) {
    return false;
  }
  const DocumentStore& store = this->documents.Store(delta.kind);
  auto next = store.Apply(delta);
  if (next) {
    return this->EndFetch(
        this->documents.Offer(std::move(*next), peer, context.outbox),
        delta.kind, context);
  }
  if (next.error() == DeltaRefusal::kOlder) {
    return false;
  }
  ++this->counts.deltas_refused;
  Fetch& fetch = this->fetches[IndexOf(delta.kind)];
  const bool wrong_text = next.error() == DeltaRefusal::kWrongDigest;
  // The content here may be the wrong one, so the whole copy is requested.
  const DocumentDigest have =
      wrong_text ? DocumentDigest{delta.kind, {}, 0} : store.Digest();
  if (!fetch.peer || wrong_text) {
    this->retries.OnRequest();
    this->SendRequest(peer, have, context);
  }
  return false;
}

bool DocumentExchange::OnCopy(common::InstanceId peer, const DocumentCopy& copy,
                              const CallContext& context) {
  const Document& document = copy.document;
  if (DigestOfEntries(document.entries) != copy.digest) {
    ++this->counts.deltas_refused;
    return false;
  }
  this->SetKnown(peer, {document.kind, document.revision, copy.digest});
  if (this->documents.Refused(
          {document.kind, document.revision, copy.digest})) {
    return false;
  }
  return this->EndFetch(this->documents.Offer(document, peer, context.outbox),
                        document.kind, context);
}

void DocumentExchange::OnRequest(common::InstanceId peer,
                                 const DocumentRequest& request,
                                 const CallContext& context) {
  const DocumentStore& store = this->documents.Store(request.kind);
  if (store.Digest().revision.value <= request.have.revision.value) {
    return;
  }
  const bool sent =
      std::visit([&](const auto& answer) { return context.Send(peer, answer); },
                 store.AnswerFor(request.have));
  this->SetKnown(peer, sent ? store.Digest() : request.have);
  if (!sent) {
    this->DeferPush(peer, request.kind);
  }
}

bool DocumentExchange::Push(common::InstanceId peer, DocumentKind kind,
                            const CallContext& context) {
  const DocumentDigest theirs = this->KnownOf(peer, kind);
  const DocumentStore& store = this->documents.Store(kind);
  if (theirs.revision.value >= store.Digest().revision.value) {
    return true;
  }
  if (theirs.revision.value == 0) {
    return false;
  }
  DocumentAnswer answer = store.AnswerFor(theirs);
  auto* delta = std::get_if<DocumentDelta>(&answer);
  if (delta == nullptr || EstimatedBytes(*delta) > kMaxPushBytes) {
    return false;
  }
  if (!context.Send(peer, std::move(*delta))) {
    this->DeferPush(peer, kind);
    return true;
  }
  // Assumes that the delta arrives, until the peer's next digest; a second
  // change soon afterwards is then sent as a delta from this revision.
  this->SetKnown(peer, store.Digest());
  return true;
}

void DocumentExchange::OnTick(const CallContext& context) {
  this->PushDeferred(context);
  if (context.now - this->last_earned > kRetryEarnInterval) {
    this->last_earned = context.now;
    this->retries.EarnRetry();
  }
  for (const DocumentKind kind : kKinds) {
    Fetch& fetch = this->fetches[IndexOf(kind)];
    if (fetch.peer && context.now >= fetch.deadline) {
      fetch.peer.reset();
      fetch.not_before = context.now + fetch.backoff.OnFailure(this->jitter);
    }
    if (!fetch.peer && fetch.backoff.Failures() > 0 &&
        context.now >= fetch.not_before) {
      this->RetryFetch(kind, context);
    }
  }
}

void DocumentExchange::KeepOnly(const std::vector<Instance>& listed) {
  std::erase_if(this->known, [&listed](const auto& item) {
    const auto found =
        std::lower_bound(listed.begin(), listed.end(), item.first, IdLess);
    return found == listed.end() || found->id != item.first;
  });
}

DocumentDigest DocumentExchange::KnownOf(common::InstanceId peer,
                                         DocumentKind kind) const {
  const auto found = this->known.find(peer);
  return found == this->known.end() ? DocumentDigest{kind, {}, 0}
                                    : found->second[IndexOf(kind)];
}

bool DocumentExchange::IsNewer(const DocumentDigest& theirs) const {
  const DocumentDigest& ours = this->documents.Store(theirs.kind).Digest();
  return theirs.revision.value > ours.revision.value &&
         !this->documents.Refused(theirs);
}

void DocumentExchange::SendRequest(common::InstanceId peer,
                                   const DocumentDigest& have,
                                   const CallContext& context) {
  Fetch& fetch = this->fetches[IndexOf(have.kind)];
  fetch.peer = peer;
  fetch.deadline = context.now + kRequestTimeout;
  context.Send(peer, DocumentRequest{have.kind, have});
}

void DocumentExchange::RetryFetch(DocumentKind kind,
                                  const CallContext& context) {
  std::vector<common::InstanceId> candidates;
  for (const auto& [peer, digests] : this->known) {
    if (this->IsNewer(digests[IndexOf(kind)])) {
      candidates.push_back(peer);
    }
  }
  Fetch& fetch = this->fetches[IndexOf(kind)];
  if (candidates.empty()) {
    fetch.backoff.OnSuccess();
    return;
  }
  // All instances that lost the same peer retry; without a retry budget the
  // retries would multiply the load just when few peers are left.
  if (!this->retries.TakeRetry()) {
    fetch.not_before = context.now + fetch.backoff.OnFailure(this->jitter);
    return;
  }
  const auto chosen =
      static_cast<std::size_t>(this->jitter.Below(candidates.size()));
  this->SendRequest(candidates[chosen], this->documents.Store(kind).Digest(),
                    context);
}

bool DocumentExchange::EndFetch(OfferOutcome outcome, DocumentKind kind,
                                const CallContext& context) {
  Fetch& fetch = this->fetches[IndexOf(kind)];
  fetch.peer.reset();
  if (outcome == OfferOutcome::kMismatch) {
    ++this->counts.deltas_refused;
    fetch.not_before = context.now + fetch.backoff.OnFailure(this->jitter);
    return false;
  }
  fetch.backoff.OnSuccess();
  fetch.not_before = context.now;
  return outcome == OfferOutcome::kAccepted;
}

void DocumentExchange::DeferPush(common::InstanceId peer, DocumentKind kind) {
  const DeferredPush deferred{peer, kind};
  if (std::find(this->deferred.begin(), this->deferred.end(), deferred) ==
      this->deferred.end()) {
    this->deferred.push_back(deferred);
  }
}

void DocumentExchange::PushDeferred(const CallContext& context) {
  // Queued deltas would send every step of a series that already exceeds the
  // budget. Deferring the peer rather than the message sends all steps as one
  // delta.
  std::vector<DeferredPush> due;
  due.swap(this->deferred);
  for (const DeferredPush& deferred : due) {
    this->Push(deferred.peer, deferred.kind, context);
  }
}

void DocumentExchange::SetKnown(common::InstanceId peer,
                                const DocumentDigest& digest) {
  DigestPair& known =
      this->known
          .try_emplace(peer, DigestPair{DocumentDigest{kKinds[0], {}, 0},
                                        DocumentDigest{kKinds[1], {}, 0}})
          .first->second;
  known[IndexOf(digest.kind)] = digest;
}

}  // namespace sassafrasdyke::core
