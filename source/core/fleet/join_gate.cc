#include "core/fleet/join_gate.h"

#include <utility>

namespace sassafrasdyke::core {
namespace {

/// How long to wait for the peers' configuration.
constexpr std::chrono::milliseconds kPeerWait{1500};

}  // namespace

void JoinGate::Hold(const Document& document, std::chrono::milliseconds now) {
  if (!this->held) {
    this->held_until = now + kPeerWait;
  }
  this->held = document;
}

std::optional<Document> JoinGate::Release(const JoinState& state,
                                          std::chrono::milliseconds now) {
  const bool due = state.configured || state.alone || now >= this->held_until;
  return due ? std::exchange(this->held, std::nullopt) : std::nullopt;
}

}  // namespace sassafrasdyke::core
