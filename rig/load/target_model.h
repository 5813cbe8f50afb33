/// A target of the load model: slots, a queue, and what may be wrong with it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "core/fleet/jitter.h"
#include "rig/load/event_queue.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {

/// What a target does with a request.
enum class RequestReception : std::uint8_t {
  kTaken,     ///< Processes it, perhaps after others.
  kRejected,  ///< States at once that it has not run.
  kReset,     ///< Resets the flow at once.
  kHung,      ///< Never answers.
};

/// Parts of the requests that a failing target doesn't process.
struct TargetFailures {
  double hung{0};
  double rejected{0};
  double reset{0};
};

class TargetModel {
 public:
  /// `events` and `service` must outlive the target.
  TargetModel(std::size_t domain, const LoadService& service,
              EventQueue& events, std::uint64_t seed)
      : domain(domain), service(service), events(events), random(seed) {}

  /// `on_end` runs when the request has been processed.
  RequestReception OnRequest(EventQueue::Time work,
                             std::function<void()> on_end);
  /// The number of new flows of the last second, this one included.
  std::size_t CountOpening();
  bool Full() const {
    return this->in_work >= this->service.slots &&
           this->waiting.size() >= this->service.queue;
  }
  std::size_t Domain() const { return this->domain; }

  bool dead{false};
  bool cold{false};
  double slowdown{1};  ///< Requests take this many times as long.
  TargetFailures failures;

 private:
  struct Waiting {
    EventQueue::Time work{0};
    std::function<void()> on_end;
  };

  void Process(Waiting request);

  const std::size_t domain;
  const LoadService& service;
  EventQueue& events;
  core::Jitter random;
  std::deque<Waiting> waiting;
  std::size_t in_work{0};
  std::deque<EventQueue::Time> opened;  ///< Of the last second.
};

}  // namespace sassafrasdyke::rig
