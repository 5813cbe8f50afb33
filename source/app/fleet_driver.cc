#include "app/fleet_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sassafrasdyke::app {
namespace {

/// Refused documents kept for whoever asks why.
constexpr std::size_t kRefusalsKept = 8;

}  // namespace

FleetDriver::FleetDriver(std::unique_ptr<core::Fleet> fleet, const Clock& clock,
                         observe::DecisionLog& log, FleetSinks sinks)
    : fleet(std::move(fleet)), clock(clock), log(log), sinks(std::move(sinks)) {
  this->pause.OnWake(clock.Now());
}

void FleetDriver::OnPlatformDocument(const core::Document& document) {
  this->fleet->OnPlatformDocument(document, this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnPlatformRefused(core::DocumentKind kind,
                                    const core::DocumentFaults& faults) {
  this->outbox.decisions.emplace_back(
      core::DocumentRefused{.kind = kind, .revision = {}, .faults = faults});
  this->Flush();
}

void FleetDriver::OnPlatformAnswer(bool reached) {
  this->fleet->OnPlatformAnswer(reached, this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnPeerMessage(common::InstanceId from,
                                const core::PeerMessage& message) {
  this->fleet->OnPeerMessage(from, message, this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnTargetProbed(common::TargetId target,
                                 core::TargetHealth health) {
  this->fleet->OnTargetProbed(target, health, this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnTick() {
  this->fleet->OnTick(this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnLeave() {
  this->fleet->OnLeave(this->Wake(), this->outbox);
  this->Flush();
}

void FleetDriver::OnPauseNoticed() {
  this->OnTick();
  this->sinks.to_data(PauseChecked{});
}

observe::ControlState FleetDriver::State() const {
  observe::ControlState copy = this->state;
  copy.status = this->fleet->Status();
  return copy;
}

std::chrono::milliseconds FleetDriver::Wake() {
  const std::chrono::milliseconds now = this->clock.Now();
  if (this->pause.OnWake(now)) {
    // Peers' messages from before the pause wait in the sockets. Read first,
    // they would renew the lease with old news, and this instance would go on
    // as an owner that others have long replaced.
    this->fleet->OnTick(now, this->outbox);
    this->Flush();
  }
  return now;
}

void FleetDriver::Flush() {
  // The sinks may call back; what is left must not be passed on twice.
  core::FleetOutbox left = std::exchange(this->outbox, {});
  const bool changed = left.configuration != nullptr || left.view.has_value();
  std::vector<observe::LogEvent> events;
  const auto time = std::chrono::system_clock::now();
  if (left.configuration != nullptr) {
    this->state.configuration = left.configuration;
    this->sinks.to_data(ConfigurationInForce{left.configuration});
  }
  if (left.view) {
    this->state.view = *left.view;
    this->sinks.to_data(std::move(*left.view));
  }
  for (const core::TargetHealthChange& change : left.health) {
    this->Keep(change);
    this->sinks.to_data(PeerWord{change.seen_by, change});
  }
  for (core::FleetDecision& decision : left.decisions) {
    this->Keep(decision);
    events.push_back({time, this->state.configuration, std::move(decision)});
  }
  this->log.Post(std::move(events));
  // Before the messages: some are for instances that have just been listed.
  if (changed) {
    this->sinks.on_change();
  }
  for (core::OutgoingMessage& message : left.messages) {
    this->sinks.to_peer(std::move(message));
  }
}

void FleetDriver::Keep(const core::FleetDecision& decision) {
  const auto* const refused = std::get_if<core::DocumentRefused>(&decision);
  if (refused == nullptr) {
    return;
  }
  std::vector<core::DocumentRefused>& kept = this->state.refusals;
  kept.push_back(*refused);
  if (kept.size() > kRefusalsKept) {
    kept.erase(kept.begin());
  }
}

void FleetDriver::Keep(const core::TargetHealthChange& change) {
  std::vector<core::TargetHealthChange>& kept = this->state.health;
  const auto known =
      std::ranges::find(kept, change.target, &core::TargetHealthChange::target);
  if (known == kept.end()) {
    kept.push_back(change);
  } else {
    *known = change;
  }
}

}  // namespace sassafrasdyke::app
