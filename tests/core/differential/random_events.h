/// Random events for a small fleet, and what must hold after each.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace sassafrasdyke::core::testing {

/// What may happen. The first group is what operators and callers do; no flow
/// may break by it. The second is what fails.
enum class EventKind : std::uint8_t {
  kOpen,
  kKnock,
  kClose,
  kPass,
  kDrain,
  kServe,
  kAddTarget,
  kWeight,
  kLeave,
  kJoin,
  kPublishToSome,
  kTellAll,
  kFirstFault,
  kKill = kFirstFault,
  kReplace,
  kPause,
  kCut,
  kHeal,
  kRemoveTarget,
  kRebirth,
  kReport,
  kCount,
};

/// One event; `pick` selects what it happens to.
struct Event {
  EventKind kind{EventKind::kPass};
  std::uint32_t pick{0};
};

std::ostream& operator<<(std::ostream& out, const Event& event);

/// A fleet and what happens to it.
struct History {
  std::uint32_t domains{1};
  std::uint32_t lost_percent{0};
  std::uint32_t repeated_percent{0};
  std::uint64_t seed{1};
  std::vector<Event> events;
};

std::ostream& operator<<(std::ostream& out, const History& history);

/// Plays a history. Returns what broke a promise, one line each. Broken flows
/// count only when `flows_must_survive`.
std::vector<std::string> Play(const History& history, bool flows_must_survive);

}  // namespace sassafrasdyke::core::testing
