/// Splits answer times into network time and time at the target, for targets of
/// the own failure domain and for those of others.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/steering/pending_requests.h"

namespace sassafrasdyke::core {

/// Averages for each service, over the answers to the first requests of flows:
/// only their network time is known. Times are monotonic.
class AnswerTimes {
 public:
  /// A target of the service answered; `local` if it is of the own domain.
  void OnAnswer(const std::string& service, bool local,
                const AnswerTiming& timing, std::chrono::milliseconds now);
  /// The additional network time of a flow's first request at a target of
  /// another domain, two round trips; nothing while there are too few recent
  /// answers of either.
  std::optional<std::chrono::milliseconds> RemoteDetour(
      const std::string& service, std::chrono::milliseconds now) const;
  /// Whether the additional network time to other domains exceeds what the
  /// targets of the own domain take for a request, queueing included. False
  /// while there are too few recent answers of either.
  bool RemoteDetourCostsMore(const std::string& service,
                             std::chrono::milliseconds now) const;

 private:
  struct Average {
    double network_ms{0};
    double target_ms{0};
    unsigned answers{0};
    std::chrono::milliseconds last_answer{0};  ///< Time of the newest answer.
  };
  struct Averages {
    Average local;
    Average remote;
  };

  /// The averages of the service if both are known; else null.
  const Averages* Find(const std::string& service,
                       std::chrono::milliseconds now) const;
  static bool IsKnown(const Average& average, std::chrono::milliseconds now);

  std::unordered_map<std::string, Averages> services;
};

}  // namespace sassafrasdyke::core
