/// A stand-in for one upstream target: accepts flows, serves requests in a few
/// slots, and can fail in the ways targets fail. Simplified TCP, no sockets.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/flow_key.h"
#include "common/ids.h"
#include "rig/exchange.h"
#include "rig/judge.h"
#include "rig/scheduler.h"
#include "rig/segment.h"

namespace sassafrasdyke::rig {

/// Where a stand-in's segments go.
class SegmentSink {
 public:
  virtual ~SegmentSink() = default;
  virtual void Send(const Segment& segment) = 0;
};

/// What a target is and how it serves.
struct TargetShape {
  common::TargetId id;
  common::ServiceId service;
  common::Endpoint address;  ///< The service's, as callers know it.
  std::uint32_t slots{2};
  std::size_t connections{2000};
  std::chrono::microseconds service_time{0};  ///< Of one request.
  std::uint32_t answer_parts{3};
  /// Requests waiting at which it sheds: refuses new flows and says so.
  std::size_t shed_at{200};
  /// Cold start: at first a request takes `cold_factor` times as long, which
  /// falls to the usual time over `cold_time`.
  double cold_factor{1};
  std::chrono::microseconds cold_time{0};
};

/// What its health endpoint says.
enum class HealthReport { kTrue, kAlwaysHealthy, kAlwaysFailing, kSilent };

/// One target.
class StandInTarget {
 public:
  /// All references must outlive it.
  StandInTarget(const TargetShape& shape, Scheduler& scheduler, Judge& judge,
                SegmentSink& sink);

  void OnSegment(const Segment& segment);

  /// Everything is lost and nothing is answered, until `Restart`.
  void Fail();
  void Restart();
  /// Its connections are forgotten without a word, though new ones work.
  void GoSilent();
  void Report(HealthReport report) { this->report = report; }

  /// The health endpoint's JSON text; empty when it doesn't answer.
  std::string Health() const;
  const TargetShape& Shape() const { return this->shape; }

 private:
  struct Connection {
    std::uint32_t receive_next{0};  ///< Next sequence number of the caller.
    std::uint32_t send_start{0};  ///< Number of `unacknowledged`'s first byte.
    /// Answer segments that the caller hasn't confirmed.
    std::deque<std::vector<std::uint8_t>> unacknowledged;
    std::uint32_t retries{0};
    std::uint64_t timer{0};  ///< Only the latest timer counts.
    bool closing{false};
  };
  struct Job {
    common::FlowKey flow;
    Request request;
    std::chrono::microseconds queued_at{0};
  };

  void OnSyn(const Segment& segment);
  void OnEstablished(const Segment& segment, Connection& connection);
  void OnAcknowledgement(std::uint32_t number, Connection& connection);
  void OnPayload(const Segment& segment, Connection& connection);
  void StartJobs();
  void FinishJob(const Job& job, std::uint64_t life);
  void SendUnacknowledged(const common::FlowKey& flow,
                          const Connection& connection);
  void ArmTimer(const common::FlowKey& flow, Connection& connection);
  void OnTimer(const common::FlowKey& flow, std::uint64_t timer);
  void Reply(const common::FlowKey& flow, core::TcpFlags flags,
             std::uint32_t sequence, std::uint32_t acknowledgement,
             std::vector<std::uint8_t> payload = {});
  std::chrono::microseconds ServiceTime() const;

  TargetShape shape;
  Scheduler& scheduler;
  Judge& judge;
  SegmentSink& sink;
  std::map<common::FlowKey, Connection> connections;
  std::set<common::FlowKey> forgotten;
  std::deque<Job> queue;
  std::uint32_t busy{0};
  bool down{false};
  std::uint64_t life{0};  ///< Jobs of an earlier life never finish.
  std::uint64_t next_timer{1};
  std::chrono::microseconds started_at{0};
  HealthReport report{HealthReport::kTrue};
};

}  // namespace sassafrasdyke::rig
