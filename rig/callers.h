/// Stand-ins for the callers: short flows of one request and long flows that
/// go on asking, with simplified TCP that retransmits and gives up.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "common/flow_key.h"
#include "common/ids.h"
#include "rig/exchange.h"
#include "rig/judge.h"
#include "rig/scheduler.h"
#include "rig/segment.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {

/// The load on one service.
struct ServiceLoad {
  common::ServiceId service;
  common::Endpoint address;
  double flows_per_second{0};  ///< New short flows.
  std::size_t long_flows{0};   ///< Kept open.
};

/// How callers behave.
struct LoadShape {
  std::vector<ServiceLoad> services;
  /// Mean time between two requests of a long flow.
  std::chrono::microseconds pause{std::chrono::seconds{1}};
  std::uint32_t idempotent_percent{50};
  /// Short flows that send their request inside the SYN.
  std::uint32_t fast_open_percent{10};
  /// Retransmissions of one segment before a caller gives up.
  std::uint32_t most_retries{6};
  /// Flows opened in all, a bound on any run.
  std::uint64_t most_flows{1'000'000};
};

/// All callers of a run.
class Callers {
 public:
  /// All references must outlive it. `seed` fixes every choice.
  Callers(const LoadShape& shape, std::uint64_t seed, Scheduler& scheduler,
          Judge& judge, SegmentSink& sink);

  /// Starts the load; long flows are opened over the first second.
  void Start();
  /// Opens nothing more; each long flow asks once more, then ends.
  void Stop();
  /// Counts what is still open as unanswered. Call once, some time after
  /// `Stop`.
  void Close();
  std::size_t Open() const { return this->flows.size(); }

  void OnSegment(const Segment& segment);

 private:
  enum class State { kOpening, kOpen, kClosing };

  struct Flow {
    FlowId id;
    std::size_t service{0};  ///< Index into the shape's services.
    bool is_long{false};
    State state{State::kOpening};
    std::uint32_t send_next{0};     ///< First number that isn't confirmed.
    std::uint32_t receive_next{0};  ///< Next number of the target.
    /// The segment that awaits confirmation, if any.
    std::optional<Segment> in_flight;
    std::uint32_t retries{0};
    std::uint64_t timer{0};  ///< Only the latest timer counts.
    Request request;
    /// Answer segments that came before the ones ahead of them.
    std::map<std::uint32_t, std::vector<std::uint8_t>> early;
    bool waiting{false};          ///< For the answer to `request`.
    std::uint32_t parts_seen{0};  ///< Of that answer.
    std::chrono::microseconds asked_at{0};
  };

  void ScheduleArrival(std::size_t service);
  void OpenFlow(std::size_t service, bool is_long,
                std::optional<Request> again = std::nullopt);
  common::FlowKey NewKey(std::size_t service);
  Request NewRequest(const Flow& flow);
  void Ask(const common::FlowKey& key, Flow& flow);
  void Transmit(const common::FlowKey& key, Flow& flow, core::TcpFlags flags,
                std::vector<std::uint8_t> payload);
  void Acknowledge(const common::FlowKey& key, const Flow& flow);
  void ArmTimer(const common::FlowKey& key, Flow& flow);
  void OnTimer(const common::FlowKey& key, std::uint64_t timer);
  void OnSynAck(const Segment& segment, Flow& flow);
  void OnReset(const Segment& segment, Flow& flow);
  void OnOpen(const Segment& segment, Flow& flow);
  void OnPayload(const Segment& segment, Flow& flow);
  /// Takes the next part of the stream; false when that broke the flow.
  bool OnAnswerPart(const common::FlowKey& key, Flow& flow,
                    std::span<const std::uint8_t> payload);
  void OnAnswered(const common::FlowKey& key, Flow& flow);
  void GiveUp(const common::FlowKey& key, Flow& flow);
  void Break(const common::FlowKey& key, Flow& flow, rig::Break cause);
  void Reopen(std::size_t service, std::optional<Request> again, bool is_long);
  bool Chance(std::uint32_t percent);

  LoadShape shape;
  Scheduler& scheduler;
  Judge& judge;
  SegmentSink& sink;
  std::mt19937_64 random;
  std::map<common::FlowKey, Flow> flows;
  bool stopping{false};
  std::uint64_t next_flow{1};
  std::uint64_t next_request{1};
  std::uint64_t next_timer{1};
};

}  // namespace sassafrasdyke::rig
