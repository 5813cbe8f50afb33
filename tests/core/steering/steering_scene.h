/// Fixture for tests of FlowSteering: an instance with its view.
#pragma once

#include <string>

#include "core/steering/flow_steering.h"
#include "core/view/sample_publication.h"

namespace sassafrasdyke::core {

/// An instance with its view.
struct SteeringScene {
  explicit SteeringScene(
      const std::string& domain = "north", WarmupTolerance tolerance = {},
      std::uint64_t seed = 0,
      const SharedObservations& shared = NoSharedObservations())
      : view(publication, std::chrono::seconds(60)),
        steering(domain,
                 {this->view.Routes(), this->view.Targets(),
                  this->view.Contact(), this->view.Regions()},
                 tolerance, seed, shared) {}

  /// Publishes a target; `value` as SamplePublication reads it.
  void Publish(const std::string& id, const std::string& value,
               std::chrono::milliseconds now) {
    this->Change("target/" + id, value, now);
  }
  void Remove(const std::string& id, std::chrono::milliseconds now) {
    this->Change("target/" + id, std::nullopt, now);
  }
  void Evacuate(const std::string& domain, std::chrono::milliseconds now) {
    this->Change("evacuation/" + domain, "{}", now);
  }
  void Lift(const std::string& domain, std::chrono::milliseconds now) {
    this->Change("evacuation/" + domain, std::nullopt, now);
  }
  void Configure(const std::string& value, std::chrono::milliseconds now) {
    this->Change("configuration", value, now);
  }
  void Change(const std::string& key, const std::optional<std::string>& value,
              std::chrono::milliseconds now) {
    ++this->revision;
    this->view.Contact().OnAnswer(now);
    this->view.OnChanges({{{key, {this->revision}, value}}, {this->revision}},
                         now);
  }

  static FlowPacket Packet(std::uint16_t port) {
    FlowPacket packet;
    packet.flow = {{common::IpAddress::FromV4(0x64400007), port},
                   *common::Endpoint::Parse("198.18.0.1:443")};
    return packet;
  }
  static FlowPacket Syn(std::uint16_t port, std::uint32_t repeats = 0) {
    FlowPacket packet = Packet(port);
    packet.flags.syn = true;
    packet.repeats = repeats;
    return packet;
  }
  static FlowPacket Data(std::uint16_t port, std::uint32_t word) {
    FlowPacket packet = Packet(port);
    packet.flags.ack = true;
    packet.word = {word};
    packet.payload_bytes = 100;
    return packet;
  }
  static FlowPacket Ack(std::uint16_t port, std::uint32_t word) {
    FlowPacket packet = Data(port, word);
    packet.payload_bytes = 0;
    return packet;
  }

  /// The word of the target that the packet was sent to; 0 if it was sent to
  /// none.
  std::uint32_t WordOf(const SteeringAction& action) {
    const auto* sent = std::get_if<SendToTarget>(&action);
    return sent == nullptr ? 0
                           : this->view.Targets().At(sent->target).word.value;
  }
  TargetIndex IndexOf(std::uint32_t word) {
    return *this->view.Targets().IndexOf({word});
  }

  std::uint64_t revision{0};
  SamplePublication publication;
  LiveView view;
  FlowSteering steering;
};

/// Name of the decision's reason, for comparing in tables.
inline std::string_view WordOf(const SteeringAction& action) {
  if (const auto* refused = std::get_if<Refuse>(&action)) {
    return Word(refused->reason);
  }
  if (const auto* silent = std::get_if<SilentDrop>(&action)) {
    return Word(silent->reason);
  }
  return Word(std::get<SendToTarget>(action).reason);
}

}  // namespace sassafrasdyke::core
