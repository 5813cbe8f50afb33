/// What an answer's time is made of, for targets of the own failure domain and
/// for those of others.
#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

#include "core/steering/pending_requests.h"

namespace sassafrasdyke::core {

/// Averages for each service, over the answers to requests that opened a flow:
/// only their way to the target is known. Times are monotonic.
class AnswerTimes {
 public:
  /// A target of the service answered; `near` if it is of the own domain.
  void OnAnswer(const std::string& service, bool near,
                const AnswerTiming& timing, std::chrono::milliseconds now);
  /// Whether the longer way to other domains takes more time than the targets
  /// of the own do for a request, waiting in their queues included. False while
  /// too little is known of either.
  bool WayOutweighsWork(const std::string& service,
                        std::chrono::milliseconds now) const;

 private:
  struct Average {
    double way_ms{0};
    double at_target_ms{0};
    unsigned answers{0};
    std::chrono::milliseconds at{0};  ///< The newest answer's.
  };
  struct Averages {
    Average near;
    Average far;
  };

  static bool IsKnown(const Average& average, std::chrono::milliseconds now);

  std::unordered_map<std::string, Averages> services;
};

}  // namespace sassafrasdyke::core
