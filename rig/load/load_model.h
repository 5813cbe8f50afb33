/// A deterministic play of callers, instances of `front` and targets, without
/// sockets: clients repeat SYNs and try again, targets have slots, a queue and
/// shed, instances start, stop and learn late, domains lie apart. The same
/// scenario gives each policy the same arrivals and the same work.
///
/// It models neither processor time, lost packets nor the spread of views.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "core/fleet/jitter.h"
#include "rig/load/balancer_variant.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {

/// What callers got of the requests of one second in one domain.
struct LoadCell {
  int asked{0};
  int in_time{0};
  int late{0};
  int failed{0};
};

/// By second since the start, and then by domain.
struct LoadOutcome {
  std::vector<std::vector<LoadCell>> cells;
  int turned_away{0};  ///< Tries that a full target refused.
  /// New flows that reached targets of a domain whose evacuation every instance
  /// knew of.
  int at_evacuated{0};
  int most_at_cold{0};  ///< New flows at one cold target within a second.

  LoadCell Sum() const;
};

/// The part of the requests that is served, late ones at three tenths.
double WorthOf(const LoadCell& cell);

/// One play.
class LoadModel {
 public:
  LoadModel(const LoadScenario& scenario, PolicyVariant variant);
  LoadOutcome Play();

 private:
  using Time = std::chrono::microseconds;
  using RequestId = std::size_t;

  struct Request {
    std::size_t domain{0};
    Time asked_at{0};
    Time work{0};
    unsigned tries{0};
    std::uint16_t port{0};  ///< Of the present try's flow.
    std::uint32_t word{0};  ///< Of the target that opened it; 0 before.
    bool at_target{false};  ///< Its target has the request.
    bool done{false};
  };
  struct Instance {
    std::size_t domain{0};
    std::unique_ptr<BalancerVariant> balancer;  ///< Null while it is off.
  };
  struct Target {
    std::size_t domain{0};
    std::deque<std::function<void()>> waiting;
    std::size_t in_work{0};
    bool dead{false};
    bool slow{false};
    bool cold{false};
    std::deque<Time> opened;  ///< Its new flows of the last second while cold.
  };
  struct Event {
    Time at{0};
    std::uint64_t order{0};
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  void After(Time wait, std::function<void()> run);
  std::chrono::milliseconds Now() const;
  double Uniform();

  void Publish(std::size_t target, bool draining, Time learnt_within,
               std::chrono::milliseconds warmup_left = {});
  void Remove(std::size_t target);
  void Tell(const std::string& key, const std::optional<std::string>& value,
            Time learnt_within);
  void StartInstance(std::size_t instance);
  void ScheduleTrouble();
  void ScheduleEvacuation();
  void CountOpening(std::size_t target);
  /// Whether a cut lies between the two domains now.
  bool IsCut(std::size_t one, std::size_t other) const;
  void ScheduleArrivals(std::size_t domain);
  void ScheduleTicks(std::size_t instance);
  std::vector<std::size_t> Affected() const;

  void Ask(std::size_t domain);
  void StartTry(RequestId id);
  void SendSyn(RequestId id, std::uint16_t port, std::uint32_t copy);
  void SendData(RequestId id, std::uint16_t port, std::uint32_t word,
                unsigned repeats);
  void SendEnd(RequestId id, std::uint16_t port, std::uint32_t word);
  void SendPacket(RequestId id, const core::FlowPacket& packet);
  void Forward(std::size_t instance, const std::vector<Forwarded>& packets);
  void OnSynAtTarget(RequestId id, std::uint16_t port, std::size_t target);
  void OnDataAtTarget(RequestId id, std::uint16_t port, std::size_t target);
  void Work(std::size_t target, RequestId id, std::uint16_t port);
  void OnAnswer(RequestId id, std::uint16_t port, std::uint32_t word);
  void FailTry(RequestId id, std::uint16_t port);
  void Finish(RequestId id, bool served);

  core::FlowPacket PacketOf(RequestId id, std::uint16_t port) const;
  std::optional<std::size_t> InstanceFor(const core::FlowPacket& packet,
                                         std::size_t domain) const;
  Time DelayTo(std::size_t instance, std::size_t target) const;
  LoadCell& CellOf(const Request& request);

  const LoadScenario scenario;
  const PolicyVariant variant;
  core::Jitter arrivals;  ///< Apart from the rest: the same for every policy.
  core::Jitter chances;
  ModelPublication publication;
  std::vector<std::pair<std::string, std::optional<std::string>>> published;
  std::uint64_t revision{0};
  std::vector<Request> requests;
  std::vector<Instance> instances;
  std::vector<Target> targets;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t last_order{0};
  Time now{0};
  bool evacuated{false};  ///< The first domain is, and every instance knows.
  LoadOutcome outcome;
};

}  // namespace sassafrasdyke::rig
