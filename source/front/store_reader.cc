#include "front/store_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasdyke::front {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

/// Whether the server's answer, and not the way to it, was at fault.
bool IsOfAnswer(http::GetFailure failure) {
  return failure == http::GetFailure::kTooLarge ||
         failure == http::GetFailure::kMalformed;
}

}  // namespace

StoreLimits StoreLimitsFor(const core::PropagationScale& pace) {
  StoreLimits limits;
  limits.wait = pace.Apply(limits.wait);
  limits.slack = pace.Apply(limits.slack);
  limits.longest_retry = pace.Apply(limits.longest_retry);
  limits.longest_substitute_retry = pace.Apply(limits.longest_substitute_retry);
  limits.pace = pace.Apply(limits.pace);
  return limits;
}

core::BackoffLimits RetriesFor(const StoreLimits& limits,
                               core::StoreReading reading) {
  if (reading == core::StoreReading::kSubstitute) {
    return {limits.longest_retry, limits.longest_substitute_retry};
  }
  return {limits.first_retry, limits.longest_retry};
}

StoreReader::StoreReader(ev::loop_ref loop, const common::Endpoint& store,
                         const core::Publication& publication,
                         const StoreLimits& limits, std::uint64_t seed,
                         StoreListener& listener)
    : store(store),
      publication(publication),
      limits(limits),
      listener(listener),
      jitter(seed),
      backoff(RetriesFor(limits, core::StoreReading::kNone)),
      connection(loop, *this),
      timer(loop) {
  this->timer.set<StoreReader, &StoreReader::OnTimer>(this);
}

void StoreReader::SetReading(core::StoreReading reading) {
  if (this->reading == reading) {
    return;
  }
  this->reading = reading;
  this->backoff = core::Backoff(RetriesFor(this->limits, reading));
  if (reading != core::StoreReading::kNone && !this->connection.Busy()) {
    this->CallAfter(std::chrono::milliseconds{0});
  }
}

void StoreReader::SetStore(const common::Endpoint& store) {
  if (store == this->store) {
    return;
  }
  this->store = store;
  this->connection.Cancel();
  this->CallAfter(std::chrono::milliseconds{0});
}

void StoreReader::HasRevision(common::Revision revision) {
  const bool is_listing = !this->Watches();
  if (revision.value == 0 || (is_listing && revision < this->listed_at)) {
    return;
  }
  if (is_listing) {
    this->ListAnew();
    // Otherwise the answer would be parsed as that of a watch.
    this->connection.Cancel();
    this->CallAfter(std::chrono::milliseconds{0});
  }
  this->known = std::max(this->known, revision);
}

void StoreReader::CallAfter(std::chrono::milliseconds wait) {
  this->timer.start(static_cast<double>(wait.count()) / kMillisecondsPerSecond);
}

void StoreReader::OnTimer(ev::timer& /*timer*/, int /*events*/) {
  if (this->reading == core::StoreReading::kNone) {
    return;
  }
  ++this->counts.calls;
  const bool watches = this->Watches();
  // A pause counts as waiting: those who depend on this instance hear from it
  // no less often for it.
  const std::chrono::milliseconds wait =
      this->limits.wait -
      std::exchange(this->paused, std::chrono::milliseconds{0});
  const std::string path = watches
                               ? this->publication.WatchPath(this->known, wait)
                               : this->publication.ListPath(this->list_after);
  const std::chrono::milliseconds deadline =
      watches ? wait + this->limits.slack : this->limits.page_deadline;
  const std::chrono::milliseconds stall_timeout =
      watches ? deadline : this->limits.slack;
  const std::size_t max_answer = this->reading == core::StoreReading::kProbe
                                     ? this->limits.max_probe_answer
                                     : this->limits.max_answer;
  this->connection.Get(
      {this->store, path, deadline, max_answer, stall_timeout});
}

void StoreReader::OnGetOutcome(
    const tl::expected<http::GetAnswer, http::GetFailure>& outcome) {
  if (!outcome) {
    if (IsOfAnswer(outcome.error())) {
      this->OnUntaken(Word(outcome.error()));
    } else {
      this->OnFailure(Word(outcome.error()));
    }
    return;
  }
  switch (this->publication.StatusOf(outcome->status)) {
    case core::StoreStatus::kServed:
      this->OnServed(*outcome);
      return;
    case core::StoreStatus::kHistoryGone:
      this->listener.OnStoreListsAnew("history-gone");
      this->ListAnew();
      this->CallAfter(std::chrono::milliseconds{0});
      return;
    case core::StoreStatus::kRefused:
      this->OnFailure("refused");
      return;
  }
}

void StoreReader::OnServed(const http::GetAnswer& answer) {
  if (this->Watches()) {
    this->OnChanges(answer);
  } else {
    this->OnPage(answer);
  }
}

void StoreReader::OnPage(const http::GetAnswer& answer) {
  auto page = this->publication.ReadPage(answer.body);
  if (!page) {
    this->OnFailure("unreadable");
    return;
  }
  // Pages aren't a snapshot. What changed between them is told by the watch,
  // if it starts where the first page was read.
  if (this->listed_at.value == 0) {
    this->listed_at = page->at;
    this->listing_began_at = answer.began_at;
  }
  std::ranges::move(page->items, std::back_inserter(this->listed));
  if (page->more) {
    this->list_after = page->last_key;
    this->CallAfter(std::chrono::milliseconds{0});
    return;
  }
  ++this->counts.listings;
  this->known = this->listed_at;
  this->listener.OnStoreListing(std::exchange(this->listed, {}),
                                this->listed_at,
                                http::TimeSince(this->listing_began_at));
  this->listed_at = {};
  this->list_after.clear();
  this->CallAfter(std::chrono::milliseconds{0});
}

void StoreReader::OnChanges(const http::GetAnswer& answer) {
  auto batch = this->publication.ReadChanges(answer.body);
  if (!batch) {
    this->OnUntaken("unreadable");
    return;
  }
  this->backoff.OnSuccess();
  this->known = std::max(this->known, batch->at);
  const bool no_news = batch->changes.empty();
  this->listener.OnStoreChanges(std::move(*batch),
                                http::TimeSince(answer.began_at));
  if (no_news) {
    this->CallAfter(std::chrono::milliseconds{0});
    return;
  }
  this->paused = this->limits.pace / 2 + this->jitter.UpTo(this->limits.pace);
  this->CallAfter(this->paused);
}

void StoreReader::OnFailure(std::string_view what) {
  ++this->counts.failures;
  this->listener.OnStoreFailure(what);
  this->CallAfter(this->backoff.OnFailure(this->jitter));
}

// An answer with changes holds each version since the known revision, so it
// only grows until the store drops its history. A listing holds the last ones,
// in pages.
void StoreReader::OnUntaken(std::string_view what) {
  if (!this->Watches()) {
    this->OnFailure(what);
    return;
  }
  ++this->counts.failures;
  this->listener.OnStoreListsAnew(what);
  this->ListAnew();
  this->CallAfter(this->backoff.OnFailure(this->jitter));
}

void StoreReader::ListAnew() {
  this->known = {};
  this->listed.clear();
  this->listed_at = {};
  this->list_after.clear();
}

}  // namespace sassafrasdyke::front
