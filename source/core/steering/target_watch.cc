#include "core/steering/target_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// How long new flows avoid a target after a first unanswered SYN. A lost
/// packet is as likely a cause as a dead target, so it is short: two of a
/// client's retransmissions.
constexpr std::chrono::milliseconds kInitialSuspicion{500};
/// A dead target is unpublished after three heartbeats, at most 4 s; one that
/// is alive but unreachable is retried every 8 s.
constexpr std::chrono::milliseconds kMaxSuspicion{8000};
/// After this many doublings the maximum suspicion is reached.
constexpr unsigned kMaxDoublings = 4;

/// A client retransmits a packet after 200 ms. A retransmission with no answer
/// on any of the target's flows in between is reason for a probe.
constexpr unsigned kMinUnansweredPackets = 2;
constexpr std::chrono::milliseconds kMinUnansweredTime{180};
/// Minimum interval between probes of a target that isn't known to be silent.
/// Each costs the target's host a handshake.
constexpr std::chrono::milliseconds kProbeInterval{300};
/// Consecutive failed probes after which a target counts as silent. One lost
/// packet can fail a probe, and a false positive costs all of the target's
/// flows.
constexpr unsigned kFailedProbesUntilSilent = 2;
/// Probe interval of a silent target, so that one behind a network partition
/// gets flows again soon after the partition heals.
constexpr std::chrono::milliseconds kSilentProbeInterval{1000};

/// A leaving target closes its listener and is then unpublished, shortly before
/// it has served its last flow. Only after this time without an answer does a
/// failed probe show that it has ended.
constexpr std::chrono::milliseconds kLeavingGracePeriod{1000};

}  // namespace

void TargetWatch::OnAnswered(TargetIndex target,
                             std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.unanswered_syns = 0;
  state.suspected_until = std::chrono::milliseconds{0};
  state.last_answered = now;
  MarkAlive(state, now);
}

void TargetWatch::MarkAlive(State& state, std::chrono::milliseconds now) {
  state.unanswered = 0;
  state.unanswered_since = now;
  state.failed_probes = 0;
  state.wants_probe = false;
  state.silent_as_of.reset();
}

void TargetWatch::OnSent(TargetIndex target, std::chrono::milliseconds now) {
  State& state = this->states[target];
  if (state.unanswered == 0) {
    state.unanswered_since = now;
  }
  ++state.unanswered;
  const bool repeated = state.unanswered >= kMinUnansweredPackets &&
                        now - state.unanswered_since >= kMinUnansweredTime;
  if (repeated) {
    this->RequestProbe(target, state);
  }
}

void TargetWatch::RequestProbe(TargetIndex target, State& state) {
  state.wants_probe = true;
  this->probe_candidates.insert(target);
}

void TargetWatch::OnReportedSilent(TargetIndex target) {
  this->RequestProbe(target, this->states[target]);
}

std::vector<TargetIndex> TargetWatch::SilentTargets() const {
  std::vector<TargetIndex> silent;
  std::ranges::copy_if(
      this->probe_candidates, std::back_inserter(silent),
      [this](TargetIndex target) { return this->Silent(target); });
  return silent;
}

void TargetWatch::OnLeaving(TargetIndex target, std::chrono::milliseconds now) {
  this->states[target].leaving_since = now;
}

void TargetWatch::OnUnpublished(TargetIndex target,
                                std::chrono::milliseconds now) {
  State& state = this->states[target];
  state.leaving_since = now;
  state.unpublished = true;
  this->RequestProbe(target, state);
  state.next_probe = now + kLeavingGracePeriod;
}

void TargetWatch::OnServing(TargetIndex target) {
  if (const auto found = this->states.find(target);
      found != this->states.end()) {
    found->second.leaving_since.reset();
    found->second.unpublished = false;
    // It may be a new start, which would get no flows until the next probe.
    if (found->second.silent_as_of) {
      found->second.next_probe = std::chrono::milliseconds{0};
    }
  }
}

std::vector<TargetIndex> TargetWatch::TakeProbes(
    std::chrono::milliseconds now) {
  std::vector<TargetIndex> probes;
  for (auto candidate = this->probe_candidates.begin();
       candidate != this->probe_candidates.end();) {
    State& state = this->states.at(*candidate);
    if (!state.wants_probe && !state.silent_as_of) {
      candidate = this->probe_candidates.erase(candidate);
      continue;
    }
    if (state.next_probe <= now) {
      state.wants_probe = false;
      state.next_probe =
          now + (state.silent_as_of ? kSilentProbeInterval : kProbeInterval);
      probes.push_back(*candidate);
    }
    ++candidate;
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
    MarkAlive(state, now);
    // Alive, but perhaps slow: it isn't probed again at once.
    state.next_probe = now + kSilentProbeInterval;
    return false;
  }
  if (state.last_answered >= started) {
    return false;  // It has answered meanwhile.
  }
  const bool may_still_serve =
      state.leaving_since &&
      now - std::max(*state.leaving_since, state.last_answered) <
          kLeavingGracePeriod;
  if (outcome == ProbeOutcome::kUnclear || may_still_serve) {
    state.failed_probes = 0;
    // Further unanswered packets request a probe again; an unpublished target
    // gets none, so its next probe is requested here.
    state.wants_probe = false;
    if (state.unpublished) {
      this->RequestProbe(target, state);
    }
    state.next_probe = now + kSilentProbeInterval;
    return false;
  }
  ++state.failed_probes;
  const std::chrono::milliseconds previous =
      std::exchange(state.last_failed_start, started);
  const bool refused = outcome == ProbeOutcome::kRefused;
  const bool certain =
      refused || state.failed_probes >= kFailedProbesUntilSilent;
  const bool newly = certain && !state.silent_as_of;
  state.silent_as_of.reset();
  if (certain) {
    // Of two probes that show it together, the first may have been lost before
    // a later flow was opened.
    state.silent_as_of = refused ? started : previous;
  }
  this->RequestProbe(target, state);
  state.wants_probe = !certain;  // Silent targets are always probed.
  state.next_probe = newly ? now + kSilentProbeInterval : state.next_probe;
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
    if (target != except && !state.silent_as_of &&
        state.last_answered >= latest) {
      best = target;
      latest = state.last_answered;
    }
  }
  return best;
}

std::optional<std::chrono::milliseconds> TargetWatch::SilentAsOf(
    TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? std::nullopt : state->silent_as_of;
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

void TargetWatch::OnSynUnanswered(TargetIndex target,
                                  std::chrono::milliseconds now) {
  State& state = this->states[target];
  ++state.unanswered_syns;
  state.last_unanswered_syn = now;
  const unsigned doublings = std::min(state.unanswered_syns - 1, kMaxDoublings);
  const std::chrono::milliseconds suspicion =
      std::min(kInitialSuspicion * (1U << doublings), kMaxSuspicion);
  state.suspected_until = now + suspicion;
  this->RequestProbe(target, state);
}

bool TargetWatch::Suspected(TargetIndex target,
                            std::chrono::milliseconds now) const {
  const State* const state = this->Find(target);
  return state != nullptr &&
         (state->silent_as_of || state->suspected_until > now);
}

std::chrono::milliseconds TargetWatch::LastUnansweredSyn(
    TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? std::chrono::milliseconds{0}
                          : state->last_unanswered_syn;
}

std::chrono::milliseconds TargetWatch::LastAnswered(TargetIndex target) const {
  const State* const state = this->Find(target);
  return state == nullptr ? std::chrono::milliseconds::min()
                          : state->last_answered;
}

LivenessEvidence TargetWatch::Evidence(TargetIndex target) const {
  const State* const state = this->Find(target);
  if (state == nullptr) {
    return {};
  }
  LivenessEvidence evidence{std::nullopt, state->last_probe, state->probed_at};
  if (state->last_answered != std::chrono::milliseconds::min()) {
    evidence.answered_at = state->last_answered;
  }
  return evidence;
}

const TargetWatch::State* TargetWatch::Find(TargetIndex target) const {
  const auto found = this->states.find(target);
  return found == this->states.end() ? nullptr : &found->second;
}

}  // namespace sassafrasdyke::core
