#include "core/steering/target_watch.h"

#include <algorithm>

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

/// A client repeats a packet after 200 ms. One that has been repeated, with no
/// sign of life from any of the target's flows between, is worth a look.
constexpr unsigned kUnansweredPackets = 2;
constexpr std::chrono::milliseconds kUnansweredFor{180};
/// Least time between trial connections to one target that isn't known to be
/// silent. Each costs the target's machine a handshake.
constexpr std::chrono::milliseconds kProbePause{300};
/// Failed trial connections in a row after which a target is silent. One lost
/// packet can fail one of them, and a target taken for silent by mistake costs
/// all of its flows.
constexpr unsigned kFailuresToSilent = 2;
/// A silent target is tried again this often, so that one behind a cut takes
/// flows again soon after the cut heals.
constexpr std::chrono::milliseconds kSilentProbePause{1000};

/// A target that leaves closes its listener, and then its entry goes, a little
/// before it has served its last flow. It must have been quiet
/// this long before a failed trial says that it has ended.
constexpr std::chrono::milliseconds kLingers{1000};

}  // namespace

void TargetWatch::OnAnswered(TargetIndex target,
                             std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.misses = 0;
  state.suspected_until = std::chrono::milliseconds{0};
  state.last_answered = now;
  ShowLife(state, now);
}

void TargetWatch::ShowLife(State& state, std::chrono::milliseconds now) {
  state.unanswered = 0;
  state.unanswered_since = now;
  state.failed_probes = 0;
  state.wants_probe = false;
  state.silent = false;
}

void TargetWatch::OnSent(TargetIndex target, std::chrono::milliseconds now) {
  State& state = this->states[target];
  if (state.unanswered == 0) {
    state.unanswered_since = now;
  }
  ++state.unanswered;
  const bool repeated = state.unanswered >= kUnansweredPackets &&
                        now - state.unanswered_since >= kUnansweredFor;
  if (repeated) {
    this->Ask(target, state);
  }
}

void TargetWatch::Ask(TargetIndex target, State& state) {
  state.wants_probe = true;
  this->asking.insert(target);
}

void TargetWatch::OnLeaving(TargetIndex target, std::chrono::milliseconds now) {
  this->states[target].leaving_since = now;
}

void TargetWatch::OnUnpublished(TargetIndex target,
                                std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.leaving_since = now;
  state.unpublished = true;
  this->Ask(target, state);
  state.next_probe = now + kLingers;
}

void TargetWatch::OnServing(TargetIndex target) {
  if (const auto found = this->states.find(target);
      found != this->states.end()) {
    found->second.leaving_since.reset();
    found->second.unpublished = false;
  }
}

std::vector<TargetIndex> TargetWatch::TakeProbes(
    std::chrono::milliseconds now) {
  std::vector<TargetIndex> probes;
  for (auto asks = this->asking.begin(); asks != this->asking.end();) {
    State& state = this->states.at(*asks);
    if (!state.wants_probe && !state.silent) {
      asks = this->asking.erase(asks);
      continue;
    }
    if (state.next_probe <= now) {
      state.wants_probe = false;
      state.next_probe = now + (state.silent ? kSilentProbePause : kProbePause);
      probes.push_back(*asks);
    }
    ++asks;
  }
  return probes;
}

bool TargetWatch::OnProbed(TargetIndex target, ProbeOutcome outcome,
                           std::chrono::milliseconds started,
                           std::chrono::milliseconds now) {
  const auto found = this->states.find(target);
  if (found == this->states.end()) {
    return false;
  }
  State& state = found->second;
  state.last_probe = outcome;
  state.probed_at = now;
  if (outcome == ProbeOutcome::kAnswered) {
    ShowLife(state, now);
    // Alive, but perhaps slow: it isn't asked again at once.
    state.next_probe = now + kSilentProbePause;
    return false;
  }
  if (state.last_answered >= started) {
    return false;  // It has shown life meanwhile.
  }
  const bool lingers =
      state.leaving_since &&
      now - std::max(*state.leaving_since, state.last_answered) < kLingers;
  if (outcome == ProbeOutcome::kUnclear || lingers) {
    state.failed_probes = 0;
    // Packets that stay unanswered ask again; an unpublished target has none.
    state.wants_probe = false;
    if (state.unpublished) {
      this->Ask(target, state);
    }
    state.next_probe = now + kSilentProbePause;
    return false;
  }
  ++state.failed_probes;
  const bool certain = outcome == ProbeOutcome::kRefused ||
                       state.failed_probes >= kFailuresToSilent;
  const bool newly = certain && !state.silent;
  state.silent = certain;
  this->Ask(target, state);
  state.wants_probe = !certain;  // A silent one is asked for its silence.
  state.next_probe = newly ? now + kSilentProbePause : state.next_probe;
  return newly;
}

void TargetWatch::OnPause(std::chrono::milliseconds now) {
  for (auto& [target, state] : this->states) {
    state.unanswered = 0;
    state.unanswered_since = now;
    state.failed_probes = 0;
    state.wants_probe = false;
  }
}

std::optional<TargetIndex> TargetWatch::LastAlive(
    TargetIndex except, std::chrono::milliseconds since) const {
  std::optional<TargetIndex> best;
  std::chrono::milliseconds latest = since;
  for (const auto& [target, state] : this->states) {
    if (target != except && !state.silent && state.last_answered >= latest) {
      best = target;
      latest = state.last_answered;
    }
  }
  return best;
}

bool TargetWatch::Silent(TargetIndex target) const {
  const State* const state = this->Find(target);
  return state != nullptr && state->silent;
}

std::string_view Word(ProbeOutcome outcome) {
  switch (outcome) {
    case ProbeOutcome::kAnswered:
      return "answered";
    case ProbeOutcome::kRefused:
      return "refused";
    case ProbeOutcome::kSilent:
      return "silent";
    case ProbeOutcome::kUnclear:
      return "unclear";
  }
  return "unknown";
}

void TargetWatch::OnMissed(TargetIndex target, std::chrono::milliseconds now) {
  State& state = this->states[target];
  ++state.misses;
  state.last_missed = now;
  const unsigned doublings = std::min(state.misses - 1, kMostDoublings);
  const std::chrono::milliseconds wait =
      std::min(kFirstSuspicion * (1U << doublings), kLongestSuspicion);
  state.suspected_until = now + wait;
  this->Ask(target, state);
}

bool TargetWatch::Suspected(TargetIndex target,
                            std::chrono::milliseconds now) const {
  const State* const state = this->Find(target);
  return state != nullptr && (state->silent || state->suspected_until > now);
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

SignsOfLife TargetWatch::Signs(TargetIndex target) const {
  const State* const state = this->Find(target);
  if (state == nullptr) {
    return {};
  }
  SignsOfLife signs{std::nullopt, state->last_probe, state->probed_at};
  if (state->last_answered != std::chrono::milliseconds::min()) {
    signs.answered_at = state->last_answered;
  }
  return signs;
}

const TargetWatch::State* TargetWatch::Find(TargetIndex target) const {
  const auto found = this->states.find(target);
  return found == this->states.end() ? nullptr : &found->second;
}

}  // namespace sassafrasdyke::core
