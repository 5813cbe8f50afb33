/// Histories of random events, and their execution on a simulated fleet.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace sassafrasdyke::core::testing {

/// The kinds of events. Those before `kFirstFault` are actions of operators and
/// callers, which may break no flow; the others are faults.
enum class EventKind : std::uint8_t {
  kOpen,
  kKnock,  ///< Opens a flow and sends only its SYN.
  kClose,
  kPass,
  kDrain,
  kServe,
  kAddTarget,
  kWeight,
  kLeave,
  kJoin,
  kPublishToSome,  ///< Some instances keep the older configuration.
  kTellAll,        ///< All instances get the latest configuration.
  kFirstFault,
  kKill = kFirstFault,
  kReplace,
  kPause,
  kCut,
  kHeal,
  kRemoveTarget,
  kRebirth,  ///< Another target gets the id of a published one.
  kReport,   ///< A prober reports a target's health, true or not.
  kCount,
};

/// One event; `pick` selects the flow, target, instance or domain, and other
/// parameters.
struct Event {
  EventKind kind{EventKind::kPass};
  std::uint32_t pick{0};
};

std::ostream& operator<<(std::ostream& out, const Event& event);

/// The parameters of a fleet and the events that it goes through.
struct History {
  std::uint32_t domains{1};
  std::uint32_t lost_percent{0};
  std::uint32_t repeated_percent{0};
  std::uint64_t seed{1};
  std::vector<Event> events;
};

std::ostream& operator<<(std::ostream& out, const History& history);

/// Runs a history on a fleet. Returns one description per violated guarantee.
/// Broken flows count only with `flows_must_survive`.
std::vector<std::string> RunHistory(const History& history,
                                    bool flows_must_survive);

}  // namespace sassafrasdyke::core::testing
