#include "rig/flood.h"

#include <algorithm>
#include <span>

#include "rig/segment.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kCallerNet = 0x0A000000;
constexpr std::uint16_t kFirstPort = 1024;
constexpr std::size_t kPorts = 50'000;
constexpr std::size_t kPayloadBytes = 64;

}  // namespace

Flood::Flood(const common::Endpoint& source, const common::Endpoint& service,
             std::size_t flows)
    : source(source,
             [](std::span<const std::uint8_t>, const common::Endpoint&) {}) {
  for (std::size_t i = 0; i < flows; ++i) {
    const auto caller = common::IpAddress::FromV4(
        kCallerNet + static_cast<std::uint32_t>(i / kPorts + 1));
    const auto port = static_cast<std::uint16_t>(kFirstPort + i % kPorts);
    Segment segment{.flow = {{caller, port}, service},
                    .flags = {.syn = true},
                    .sequence = 1,
                    .acknowledgement = 0,
                    .payload = {}};
    this->opening.push_back(Encode(segment));
    segment.flags = {.ack = true};
    segment.sequence = 2;
    segment.acknowledgement = 1;
    segment.payload.assign(kPayloadBytes, 0);
    this->data.push_back(Encode(segment));
  }
}

void Flood::AddTarget(const common::Endpoint& tunnel) {
  this->targets.emplace_back(
      tunnel, [this](std::span<const std::uint8_t>, const common::Endpoint&) {
        ++this->counts.delivered;
      });
}

void Flood::Start(const common::Endpoint& instance) {
  this->instance = ToSocketAddress(instance);
  this->idle.set<Flood, &Flood::OnIdle>(this);
  this->idle.start();
}

void Flood::Stop() { this->idle.stop(); }

void Flood::OnIdle(ev::idle& /*watcher*/, int /*events*/) {
  // Opening at full speed would overrun the instance's socket and leave flows
  // without a record; the loop's round through the targets paces it.
  if (this->opened < this->opening.size()) {
    this->next = this->opened;
    this->SendBatch(this->opening);
    this->opened += kBatch;
    this->counts = FloodCounts{};
    return;
  }
  this->SendBatch(this->data);
}

void Flood::SendBatch(std::vector<Datagram>& from) {
  std::array<std::span<const std::uint8_t>, kBatch> batch;
  for (auto& datagram : batch) {
    this->next = this->next < from.size() ? this->next : 0;
    datagram = from[this->next++];
  }
  this->counts.sent += this->source.SendAll(batch, this->instance);
}

}  // namespace sassafrasdyke::rig
