#include "core/steering/target_watch.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

/// How long a first unanswered SYN keeps new flows away. A lost packet causes
/// it as easily as a dead target, so it is short: two of a client's repeats.
constexpr std::chrono::milliseconds kFirstSuspicion{500};
/// A dead target is gone from what is published after three heartbeats, at
/// most 4 s; one that lives but can't be reached is tried every 8 s.
constexpr std::chrono::milliseconds kLongestSuspicion{8000};
/// Past this many doublings the longest suspicion is reached.
constexpr unsigned kMostDoublings = 4;
/// Time in which the memory of a placed flow halves. Flows last up to a minute;
/// a shorter time lets a target that has just come catch up in seconds instead
/// of taking every new flow for a minute.
constexpr double kHalfLifeMs = 10'000.0;

double Decay(std::chrono::milliseconds age) {
  return std::exp2(-static_cast<double>(age.count()) / kHalfLifeMs);
}

}  // namespace

void TargetWatch::OnPlaced(TargetIndex target, std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.flows = state.flows * Decay(now - state.flows_at) + 1.0;
  state.flows_at = now;
}

void TargetWatch::OnAnswered(TargetIndex target,
                             std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.misses = 0;
  state.suspected_until = std::chrono::milliseconds{0};
  state.last_answered = now;
}

void TargetWatch::OnMissed(TargetIndex target, std::chrono::milliseconds now) {
  State& state = this->states[target];
  ++state.misses;
  state.last_missed = now;
  const unsigned doublings = std::min(state.misses - 1, kMostDoublings);
  const std::chrono::milliseconds wait =
      std::min(kFirstSuspicion * (1U << doublings), kLongestSuspicion);
  state.suspected_until = now + wait;
}

bool TargetWatch::Suspected(TargetIndex target,
                            std::chrono::milliseconds now) const {
  const State* const state = this->Find(target);
  return state != nullptr && state->suspected_until > now;
}

std::chrono::milliseconds TargetWatch::LastMissed(TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? std::chrono::milliseconds{0} : state->last_missed;
}

std::chrono::milliseconds TargetWatch::LastAnswered(TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? std::chrono::milliseconds::min()
                          : state->last_answered;
}

double TargetWatch::RecentFlows(TargetIndex target,
                                std::chrono::milliseconds now) const {
  const State* const state = this->Find(target);
  return state == nullptr ? 0.0 : state->flows * Decay(now - state->flows_at);
}

unsigned TargetWatch::Misses(TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? 0 : state->misses;
}

const TargetWatch::State* TargetWatch::Find(TargetIndex target) const {
  const auto found = this->states.find(target);
  return found == this->states.end() ? nullptr : &found->second;
}

}  // namespace sassafrasdyke::core
