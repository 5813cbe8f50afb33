#include "core/fleet/document_exchange.h"

#include <algorithm>
#include <utility>

#include "core/fleet/document_digest.h"
#include "core/fleet/message_size.h"

namespace sassafrasdyke::core {
namespace {

/// Longest wait for an answer; a whole copy over a poor link takes this long.
constexpr std::chrono::milliseconds kAnswerDeadline{1500};
/// Larger changes are announced, so that a peer fetches them from one neighbour
/// and isn't sent them by all.
constexpr std::size_t kLargestPush = 4096;
constexpr std::chrono::milliseconds kQuietForRetry{std::chrono::seconds{5}};

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
                                 const Turn& turn) {
  for (const DocumentDigest& theirs : digests) {
    this->Learn(peer, theirs);
    const DocumentDigest& ours = this->documents.Store(theirs.kind).Digest();
    if (theirs.revision == ours.revision && theirs.digest != ours.digest) {
      ++this->counts.digest_conflicts;
    }
    const Search& search = this->searches[IndexOf(theirs.kind)];
    if (this->Newer(theirs) && !search.asked && turn.now >= search.not_before) {
      this->retries.OnRequest();
      this->Ask(peer, ours, turn);
    }
  }
}

bool DocumentExchange::OnDelta(common::InstanceId peer,
                               const DocumentDelta& delta, const Turn& turn) {
  this->Learn(peer, {delta.kind, delta.to, delta.digest});
  if (this->documents.Refused({delta.kind, delta.to, delta.digest})) {
    return false;
  }
  const DocumentStore& store = this->documents.Store(delta.kind);
  auto next = store.Apply(delta);
  if (next) {
    return this->Finish(
        this->documents.Offer(std::move(*next), peer, turn.outbox), delta.kind,
        turn);
  }
  if (next.error() == DeltaRefusal::kOlder) {
    return false;
  }
  ++this->counts.deltas_refused;
  Search& search = this->searches[IndexOf(delta.kind)];
  const bool wrong_text = next.error() == DeltaRefusal::kWrongDigest;
  // The text here may be the wrong one, so a delta from it can't help.
  const DocumentDigest have =
      wrong_text ? DocumentDigest{delta.kind, {}, 0} : store.Digest();
  if (!search.asked || wrong_text) {
    this->retries.OnRequest();
    this->Ask(peer, have, turn);
  }
  return false;
}

bool DocumentExchange::OnCopy(common::InstanceId peer, const DocumentCopy& copy,
                              const Turn& turn) {
  const Document& document = copy.document;
  if (DigestOfEntries(document.entries) != copy.digest) {
    ++this->counts.deltas_refused;
    return false;
  }
  this->Learn(peer, {document.kind, document.revision, copy.digest});
  if (this->documents.Refused(
          {document.kind, document.revision, copy.digest})) {
    return false;
  }
  return this->Finish(this->documents.Offer(document, peer, turn.outbox),
                      document.kind, turn);
}

void DocumentExchange::OnRequest(common::InstanceId peer,
                                 const DocumentRequest& request,
                                 const Turn& turn) {
  const DocumentStore& store = this->documents.Store(request.kind);
  if (store.Digest().revision.value <= request.have.revision.value) {
    return;
  }
  const bool sent =
      std::visit([&](const auto& answer) { return turn.Send(peer, answer); },
                 store.AnswerFor(request.have));
  this->Learn(peer, sent ? store.Digest() : request.have);
  if (!sent) {
    this->Owe(peer, request.kind);
  }
}

bool DocumentExchange::Push(common::InstanceId peer, DocumentKind kind,
                            const Turn& turn) {
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
  if (delta == nullptr || EstimatedBytes(*delta) > kLargestPush) {
    return false;
  }
  if (!turn.Send(peer, std::move(*delta))) {
    this->Owe(peer, kind);
    return true;
  }
  // Believed until its next digest says otherwise; a second change that follows
  // at once is then sent as a step from this one.
  this->Learn(peer, store.Digest());
  return true;
}

void DocumentExchange::OnTick(const Turn& turn) {
  this->PushOwed(turn);
  if (turn.now - this->quiet_since > kQuietForRetry) {
    this->quiet_since = turn.now;
    this->retries.OnQuietTime();
  }
  for (const DocumentKind kind : kKinds) {
    Search& search = this->searches[IndexOf(kind)];
    if (search.asked && turn.now >= search.deadline) {
      search.asked.reset();
      search.not_before = turn.now + search.backoff.OnFailure(this->jitter);
    }
    if (!search.asked && search.backoff.Failures() > 0 &&
        turn.now >= search.not_before) {
      this->AskAgain(kind, turn);
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

bool DocumentExchange::Newer(const DocumentDigest& theirs) const {
  const DocumentDigest& ours = this->documents.Store(theirs.kind).Digest();
  return theirs.revision.value > ours.revision.value &&
         !this->documents.Refused(theirs);
}

void DocumentExchange::Ask(common::InstanceId peer, const DocumentDigest& have,
                           const Turn& turn) {
  Search& search = this->searches[IndexOf(have.kind)];
  search.asked = peer;
  search.deadline = turn.now + kAnswerDeadline;
  turn.Send(peer, DocumentRequest{have.kind, have});
}

void DocumentExchange::AskAgain(DocumentKind kind, const Turn& turn) {
  std::vector<common::InstanceId> candidates;
  for (const auto& [peer, digests] : this->known) {
    if (this->Newer(digests[IndexOf(kind)])) {
      candidates.push_back(peer);
    }
  }
  Search& search = this->searches[IndexOf(kind)];
  if (candidates.empty()) {
    search.backoff.OnSuccess();
    return;
  }
  // Every instance that lost the same peer asks again; without a budget the
  // repeats would be a multiple of the requests just when peers are few.
  if (!this->retries.TakeRetry()) {
    search.not_before = turn.now + search.backoff.OnFailure(this->jitter);
    return;
  }
  const auto chosen =
      static_cast<std::size_t>(this->jitter.Below(candidates.size()));
  this->Ask(candidates[chosen], this->documents.Store(kind).Digest(), turn);
}

bool DocumentExchange::Finish(OfferOutcome outcome, DocumentKind kind,
                              const Turn& turn) {
  Search& search = this->searches[IndexOf(kind)];
  search.asked.reset();
  if (outcome == OfferOutcome::kMismatch) {
    ++this->counts.deltas_refused;
    search.not_before = turn.now + search.backoff.OnFailure(this->jitter);
    return false;
  }
  search.backoff.OnSuccess();
  search.not_before = turn.now;
  return outcome == OfferOutcome::kAccepted;
}

void DocumentExchange::Owe(common::InstanceId peer, DocumentKind kind) {
  const Owed owed{peer, kind};
  if (std::find(this->owed.begin(), this->owed.end(), owed) ==
      this->owed.end()) {
    this->owed.push_back(owed);
  }
}

void DocumentExchange::PushOwed(const Turn& turn) {
  // A queue of deltas would send each step of a series that the budget can't
  // carry. Owing the peer, rather than the message, sends the steps as one.
  std::vector<Owed> due;
  due.swap(this->owed);
  for (const Owed& owed : due) {
    this->Push(owed.peer, owed.kind, turn);
  }
}

void DocumentExchange::Learn(common::InstanceId peer,
                             const DocumentDigest& digest) {
  Known& known = this->known
                     .try_emplace(peer, Known{DocumentDigest{kKinds[0], {}, 0},
                                              DocumentDigest{kKinds[1], {}, 0}})
                     .first->second;
  known[IndexOf(digest.kind)] = digest;
}

}  // namespace sassafrasdyke::core
