/// How many requests this instance may have at a failure domain's targets of a
/// service, for one more flow to be opened there.
///
/// After a common restart, or when many clients come at once, the flows of a
/// second or more are opened within a tenth of one. Sent on as they come, they
/// fill the queues of the targets: all requests wait there, those that still
/// could be in time behind those that are late already, and what doesn't fit is
/// shed, only to be opened once more. So an instance sends on what the targets
/// answer in time, to other domains when its own has enough, and holds the rest
/// back.
///
/// Nobody tells an instance its share: how many others there are is known only
/// seconds after a common restart, when it matters most. The limits are found
/// as TCP finds its window, by slow start, additive increase and multiplicative
/// decrease. The sign of congestion is that many answers of a round take the
/// targets both half of what callers allow and several times what the quickest
/// take.
#pragma once

#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/steering/pending_requests.h"
#include "core/steering/target_watch.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Where one more flow may be opened.
struct OpeningRoom {
  /// Nothing: wherever the steering likes. Else the failure domain to use.
  std::optional<std::string> domain;
};

/// A limit for each service and failure domain. The tables must outlive this.
class OpeningGate {
 public:
  /// `domain` is the own failure domain.
  OpeningGate(std::string domain, const TargetTable& targets,
              const TargetWatch& watch, const PendingRequests& pending)
      : domain(std::move(domain)),
        targets(targets),
        watch(watch),
        pending(pending) {}

  /// A target answered a request of `route`.
  void OnAnswer(TargetIndex target, const Route& route,
                const AnswerTiming& timing, std::chrono::milliseconds now);
  /// Room for one more flow of the route, or nothing. There is room also when
  /// the route has no target: that is for others to refuse.
  std::optional<OpeningRoom> RoomFor(const Route& route,
                                     std::chrono::milliseconds now) const;

 private:
  /// The answers to requests that were sent since it began. It ends with an
  /// answer to one of them, once there are enough: those before were sent under
  /// the limit before.
  struct Round {
    std::chrono::milliseconds since{0};
    unsigned answers{0};
    unsigned late{0};
  };
  /// What one domain's targets of a service may be given, in requests.
  struct Limit {
    double requests;
    /// Below this the limit doubles with every answer time, above it grows by
    /// one. Half of what it was when congestion began, and no less for lasting:
    /// the rounds until a queue has drained say nothing of what would fit.
    double careful_from{std::numeric_limits<double>::infinity()};
    bool congested{false};  ///< Many answers of the last round were late.
    double quickest_ms{0};  ///< The quickest answer in a while; 0 before any.
    unsigned answers{0};
    Round round{};
  };
  /// Decreases the limit by the part of a round's answers that were late. Were
  /// each late answer counted by itself, hundreds that were sent before the
  /// first decrease would bring the limit to its least at once, and callers
  /// would wait while targets idle.
  static void Shrink(Limit& limit);
  /// Notes how long an answer took; true if that is too long.
  static bool TakesTooLong(Limit& limit, const Route& route,
                           const AnswerTiming& timing);
  using Limits = std::map<std::string, Limit, std::less<>>;

  Limit LimitOf(const std::string& service, const std::string& domain) const;
  /// The limit of the own domain before any answer: what its targets work on at
  /// once. Less would leave targets idle for several times as long as an answer
  /// takes where there are few instances, and callers back from an outage would
  /// be late at half the load. Where there are many, each has few callers.
  double FirstLimit(const std::string& service) const;
  /// Requests pending at each domain that has usable targets of the service.
  std::map<std::string, double> PendingByDomain(
      const std::string& service, std::chrono::milliseconds now) const;

  const std::string domain;
  const TargetTable& targets;
  const TargetWatch& watch;
  const PendingRequests& pending;
  std::unordered_map<std::string, Limits> limits;
};

}  // namespace sassafrasdyke::core
