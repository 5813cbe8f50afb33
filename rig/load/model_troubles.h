/// Publishes the targets of a load scenario and makes its troubles happen.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "rig/load/event_queue.h"
#include "rig/load/load_scenario.h"
#include "rig/load/model_fleet.h"
#include "rig/load/target_model.h"

namespace sassafrasdyke::rig {

/// The address that clients connect to.
common::Endpoint RouteEndpoint();
/// The word that identifies a target; never 0.
std::uint32_t WordOfTarget(std::size_t target);

class ModelTroubles {
 public:
  /// All must outlive the object.
  ModelTroubles(const LoadScenario& scenario, EventQueue& events,
                std::deque<TargetModel>& targets, ModelFleet& fleet)
      : scenario(scenario), events(events), targets(targets), fleet(fleet) {}

  /// Publishes the configuration and the targets that are there at first.
  void PublishInitial();
  void Schedule();
  /// Whether the domain is evacuated and every instance knows of it.
  bool IsEvacuated(std::size_t domain) const {
    return this->evacuated.contains(domain);
  }

 private:
  using Time = EventQueue::Time;

  void Schedule(const LoadEvent& event);
  void ScheduleEvacuation(const LoadEvent& event);
  void Begin(const LoadEvent& event, std::size_t target);
  void End(const LoadEvent& event, std::size_t target);
  void EndEvacuation(const LoadEvent& event);
  void Publish(std::size_t target, bool draining, Time learnt_within,
               std::chrono::milliseconds warmup_left = {});
  std::vector<std::size_t> Affected(const LoadEvent& event) const;

  const LoadScenario& scenario;
  EventQueue& events;
  std::deque<TargetModel>& targets;
  ModelFleet& fleet;
  std::set<std::size_t> evacuated;
};

}  // namespace sassafrasdyke::rig
