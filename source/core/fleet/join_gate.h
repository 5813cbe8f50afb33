/// Holds back the configuration that a joining instance reads from the platform
/// until its peers have sent the one in force.
#pragma once

#include <chrono>
#include <optional>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// What decides whether a held configuration may be released.
struct JoinState {
  bool configured{false};  ///< A peer's configuration is in force here.
  bool alone{false};       ///< The instance list has no other instance.
};

/// The fleet may have refused the newest revision because it may not replace
/// the one in force. A joining instance has nothing in force to compare with;
/// if it accepted that revision, it alone would place flows by it, and callers'
/// packets would reach a different owner there than everywhere else.
class JoinGate {
 public:
  /// Holds `document`, in place of an earlier one. The wait counts from the
  /// first document held.
  void Hold(const Document& document, std::chrono::milliseconds now);

  bool Holding() const { return this->held.has_value(); }

  /// Returns the document once it may be offered: when a peer's configuration
  /// is in force, when there are no peers, or when the wait for peers is over.
  std::optional<Document> Release(const JoinState& state,
                                  std::chrono::milliseconds now);

 private:
  std::optional<Document> held;
  std::chrono::milliseconds held_until{0};
};

}  // namespace sassafrasdyke::core
