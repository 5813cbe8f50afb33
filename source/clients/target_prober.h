/// Probes the health that targets report of themselves over HTTP.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clients/health_hysteresis.h"
#include "clients/http_client.h"
#include "common/address.h"
#include "common/ids.h"
#include "core/fleet/jitter.h"
#include "core/messages.h"

namespace sassafrasdyke::clients {

/// Times, sizes and the budget of probing.
struct ProbeLimits {
  std::chrono::milliseconds interval{2000};  ///< Mean, for each target.
  std::chrono::milliseconds deadline{1000};
  /// Probes an instance sends in a second at most, on average. With more
  /// targets than that the interval grows.
  std::uint32_t probes_per_second{100};
  std::size_t max_answer{4096};  ///< In bytes.
  HysteresisLimits hysteresis;
};

/// One target to probe.
struct ProbedTarget {
  common::TargetId id;
  common::Endpoint health;

  friend bool operator==(const ProbedTarget&, const ProbedTarget&) = default;
};

/// Takes changes of targets' states.
class ProbeListener {
 public:
  virtual ~ProbeListener() = default;

  /// Several probes agree on another state than the last one told. May set
  /// the targets.
  virtual void OnTargetProbed(common::TargetId target,
                              core::TargetHealth health) = 0;
};

/// Counts since the process started.
struct ProbeCounts {
  std::uint64_t probes{0};
  std::uint64_t unreachable{0};  ///< No answer within the deadline.
  std::uint64_t unreadable{0};   ///< An answer that says no known state.
  std::uint64_t changes{0};      ///< Told to the listener.
};

/// What a health endpoint's body says; nothing if it says no known state.
/// Other members than "health" are not looked at.
std::optional<core::TargetHealth> ReadHealth(const std::string& body);

/// Probes the targets that it is told to, each at its own time.
class TargetProber final : private HttpListener {
 public:
  /// `loop` and `listener` must outlive the prober; `seed` varies jitter only.
  TargetProber(ev::loop_ref loop, const ProbeLimits& limits, std::uint64_t seed,
               ProbeListener& listener);
  ~TargetProber() override;
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;

  /// Probes exactly `targets` from now on. A target that was probed before at
  /// the same address keeps its state.
  void SetTargets(const std::vector<ProbedTarget>& targets);
  const ProbeCounts& Counts() const { return this->counts; }

 private:
  /// One target's probing.
  struct Probe {
    Probe(TargetProber& prober, const ProbedTarget& target);

    void OnTimer(ev::timer& timer, int events);

    TargetProber& prober;
    ProbedTarget target;
    ev::timer timer;
    HealthHysteresis hysteresis;
    HttpRequestId running;  ///< 0 when no request runs.
  };

  void OnHttpOutcome(
      HttpRequestId request,
      const tl::expected<HttpAnswer, HttpFailure>& outcome) override;

  void Start(const ProbedTarget& target);
  void Remove(common::TargetId target);
  void Request(Probe& probe);
  void ScheduleNext(Probe& probe);
  core::TargetHealth Judge(
      const tl::expected<HttpAnswer, HttpFailure>& outcome);
  std::chrono::milliseconds Interval() const;

  ev::loop_ref loop;
  const ProbeLimits limits;
  ProbeListener& listener;
  core::Jitter jitter;
  HttpClient client;
  std::unordered_map<common::TargetId, std::unique_ptr<Probe>> probes;
  std::unordered_map<HttpRequestId, common::TargetId> requests;
  ProbeCounts counts;
};

}  // namespace sassafrasdyke::clients
