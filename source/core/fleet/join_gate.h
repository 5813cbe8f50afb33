/// Holds back the configuration that a joining instance reads from the platform
/// until its peers have told which one is in force.
#pragma once

#include <chrono>
#include <optional>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// What a joining instance knows of its peers.
struct JoinState {
  bool configured{false};  ///< A peer's configuration is in force here.
  bool alone{false};       ///< The instance list names nobody else.
};

/// The fleet may have refused the newest revision because it can't follow the
/// one in force. A joining instance has nothing in force to compare with; if it
/// took that revision, it alone would place flows by it, and callers' packets
/// would meet another owner there than everywhere else.
class JoinGate {
 public:
  /// Keeps `document`, in place of an earlier one.
  void Hold(const Document& document, std::chrono::milliseconds now);

  bool Holding() const { return this->held.has_value(); }

  /// Gives the document back once it may be offered: after a peer's, when there
  /// are no peers, or when peers have had their time.
  std::optional<Document> Release(const JoinState& state,
                                  std::chrono::milliseconds now);

 private:
  std::optional<Document> held;
  std::chrono::milliseconds held_until{0};
};

}  // namespace sassafrasdyke::core
