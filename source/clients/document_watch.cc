#include "clients/document_watch.h"

#include <algorithm>
#include <utility>

#include "config/document_splitter.h"

namespace sassafrasdyke::clients {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr long kOk = 200;           // NOLINT(google-runtime-int)
constexpr long kNotModified = 304;  // NOLINT(google-runtime-int)

}  // namespace

DocumentWatch::DocumentWatch(ev::loop_ref loop, HttpClient& client,
                             std::string url, core::DocumentKind kind,
                             const PlatformLimits& limits, std::uint64_t seed,
                             PlatformListener& listener)
    : client(client),
      url(std::move(url)),
      kind(kind),
      limits(limits),
      listener(listener),
      jitter(seed),
      backoff({limits.first_retry, limits.longest_retry}),
      timer(loop) {
  this->timer.set<DocumentWatch, &DocumentWatch::Request>(this);
}

DocumentWatch::~DocumentWatch() { this->client.Cancel(this->running); }

void DocumentWatch::Watch(bool on) {
  if (on == this->on) {
    return;
  }
  this->on = on;
  if (on) {
    // Instances of a rack that restarts start to read at the same moment.
    this->RequestAfter(this->jitter.UpTo(this->limits.first_read));
    return;
  }
  this->timer.stop();
  this->client.Cancel(this->running);
  this->running = {};
}

void DocumentWatch::HasRevision(common::Revision revision) {
  this->revision.value = std::max(this->revision.value, revision.value);
}

void DocumentWatch::Request(ev::timer& watcher, int /*events*/) {
  std::string address = this->url;
  if (this->revision.value > 0) {
    address += "?after=" + std::to_string(this->revision.value) +
               "&wait_ms=" + std::to_string(this->limits.wait.count());
  }
  ++this->counts.reads;
  this->requested_at = watcher.loop.now();
  this->running = this->client.Get(
      {std::move(address), this->limits.wait + this->limits.slack,
       this->limits.max_answer},
      *this);
}

void DocumentWatch::OnHttpOutcome(
    HttpRequestId /*request*/,
    const tl::expected<HttpAnswer, HttpFailure>& outcome) {
  this->running = {};
  const Outcome judged = this->Judge(outcome);
  // The wait is chosen first: the listener may stop the watch.
  this->RequestAfter(this->WaitAfter(judged));
  this->listener.OnPlatformAnswer(this->kind, judged != Outcome::kFailed);
}

DocumentWatch::Outcome DocumentWatch::Judge(
    const tl::expected<HttpAnswer, HttpFailure>& outcome) {
  if (!outcome) {
    ++this->counts.failures;
    return Outcome::kFailed;
  }
  this->counts.bytes += outcome->body.size();
  if (outcome->status == kNotModified) {
    ++this->counts.unchanged;
    return Outcome::kUnchanged;
  }
  if (outcome->status != kOk) {
    ++this->counts.failures;
    return Outcome::kFailed;
  }
  return this->JudgeText(outcome->body);
}

DocumentWatch::Outcome DocumentWatch::JudgeText(const std::string& text) {
  const auto document = config::SplitDocument(this->kind, text);
  if (!document) {
    ++this->counts.refused;
    this->listener.OnPlatformRefused(this->kind, document.error());
    return Outcome::kNotUsable;
  }
  // The platform's copies lag behind each other. Passing an older revision on
  // would take back a change that operators have seen in force.
  if (document->revision.value <= this->revision.value) {
    ++this->counts.older;
    return Outcome::kNotUsable;
  }
  ++this->counts.documents;
  this->revision = document->revision;
  this->listener.OnPlatformDocument(*document);
  return Outcome::kNewer;
}

std::chrono::milliseconds DocumentWatch::WaitAfter(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNewer:
      this->backoff.OnSuccess();
      return this->limits.pace;
    case Outcome::kUnchanged: {
      this->backoff.OnSuccess();
      // A platform that doesn't hold requests answers at once. Asking again at
      // once would spend the read budget of the whole fleet on one document.
      const double took = this->timer.loop.now() - this->requested_at;
      const bool early =
          std::chrono::duration<double>(took) < this->limits.wait / 2;
      return early ? this->limits.wait / 2 : this->limits.pace;
    }
    case Outcome::kNotUsable:
    case Outcome::kFailed:
      break;
  }
  // The same answer would come again at once, so it waits like a failure.
  return this->limits.pace + this->backoff.OnFailure(this->jitter);
}

void DocumentWatch::RequestAfter(std::chrono::milliseconds wait) {
  if (this->on) {
    this->timer.start(static_cast<double>(wait.count()) /
                      kMillisecondsPerSecond);
  }
}

}  // namespace sassafrasdyke::clients
