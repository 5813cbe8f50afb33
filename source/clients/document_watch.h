/// The watch on one of the platform's documents.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "clients/http_client.h"
#include "common/ids.h"
#include "core/fleet/backoff.h"
#include "core/fleet/fleet.h"
#include "core/fleet/jitter.h"
#include "core/messages.h"

namespace sassafrasdyke::clients {

/// Times and sizes of reading the platform.
struct PlatformLimits {
  /// How long the platform may hold a request when nothing is new. Shorter
  /// than the fleet's lease, so that a quiet platform keeps it.
  std::chrono::milliseconds wait{2500};
  /// How much longer an answer may take before the platform counts as silent.
  std::chrono::milliseconds slack{1500};
  /// Bounds of the wait after a failure.
  std::chrono::milliseconds first_retry{200};
  std::chrono::milliseconds longest_retry{10'000};
  /// Bound of the wait before the first request.
  std::chrono::milliseconds first_read{500};
  /// Least time from one answer to the next request.
  std::chrono::milliseconds pace{100};
  /// Greatest answer, in bytes: a value of 1 MiB and its comments.
  std::size_t max_answer{(1U << 20U) + (1U << 16U)};
};

/// Takes what the platform says.
class PlatformListener {
 public:
  virtual ~PlatformListener() = default;

  /// A revision newer than every one before.
  virtual void OnPlatformDocument(const core::Document& document) = 0;
  /// A text that can't even be split; nothing of it is used.
  virtual void OnPlatformRefused(core::DocumentKind kind,
                                 const core::DocumentFaults& faults) = 0;
  /// A request ended: the platform answered (perhaps with nothing new), or it
  /// could not be reached.
  virtual void OnPlatformAnswer(core::DocumentKind kind, bool reached) = 0;
};

/// Counts since the process started.
struct PlatformCounts {
  std::uint64_t reads{0};      ///< Requests, the unit of the read budget.
  std::uint64_t documents{0};  ///< Newer revisions passed on.
  std::uint64_t unchanged{0};  ///< Answers with nothing new.
  std::uint64_t older{0};      ///< Answers with an older revision, dropped.
  std::uint64_t refused{0};    ///< Texts that can't be split, dropped.
  std::uint64_t failures{0};   ///< No answer, or one with another status.
  std::uint64_t bytes{0};      ///< Of the bodies received.
};

/// Reads one document again and again, as long as it is told to.
class DocumentWatch final : public HttpListener {
 public:
  /// All references must outlive the watch; `seed` varies jitter only.
  DocumentWatch(ev::loop_ref loop, HttpClient& client, std::string url,
                core::DocumentKind kind, const PlatformLimits& limits,
                std::uint64_t seed, PlatformListener& listener);
  ~DocumentWatch() override;
  DocumentWatch(const DocumentWatch&) = delete;
  DocumentWatch& operator=(const DocumentWatch&) = delete;

  /// Starts or stops reading; the same value twice changes nothing.
  void Watch(bool on);
  /// The revision that this instance has from elsewhere; only grows.
  void HasRevision(common::Revision revision);
  const PlatformCounts& Counts() const { return this->counts; }

  void OnHttpOutcome(
      HttpRequestId request,
      const tl::expected<HttpAnswer, HttpFailure>& outcome) override;

 private:
  /// What became of one request.
  enum class Outcome { kNewer, kUnchanged, kNotUsable, kFailed };

  void Request(ev::timer& watcher, int events);
  Outcome Judge(const tl::expected<HttpAnswer, HttpFailure>& outcome);
  Outcome JudgeText(const std::string& text);
  std::chrono::milliseconds WaitAfter(Outcome outcome);
  void RequestAfter(std::chrono::milliseconds wait);

  HttpClient& client;
  const std::string url;
  const core::DocumentKind kind;
  const PlatformLimits limits;
  PlatformListener& listener;
  core::Jitter jitter;
  core::Backoff backoff;
  ev::timer timer;
  ev::tstamp requested_at{0};
  bool on{false};
  HttpRequestId running;      ///< 0 when no request runs.
  common::Revision revision;  ///< The newest known.
  PlatformCounts counts;
};

}  // namespace sassafrasdyke::clients
