#include "core/steering/syn_queue.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Times at which a client sends the copies of a SYN, after the first; at the
/// last one it gives up.
constexpr std::array<milliseconds, 4> kSynSendTimes{
    milliseconds{0}, milliseconds{200}, milliseconds{600}, kSynLife};
/// A queued SYN is dropped this long before its next copy is sent, so that the
/// two are never in flight together.
constexpr milliseconds kRetransmitMargin{20};
/// Maximum queue length, some 0.3 MB. One of 810 instances gets 79 new flows a
/// second, so more fit than arrive while a client waits.
constexpr std::size_t kMaxQueued = 1024;

std::size_t CopyNumber(const FlowPacket& packet) {
  return std::min<std::size_t>(packet.repeats, kSynSendTimes.size() - 2);
}

}  // namespace

bool SynQueue::Hold(const FlowPacket& packet,
                    std::span<const std::uint8_t> bytes,
                    milliseconds arrived_at) {
  this->Forget(packet.flow);
  if (this->Full()) {
    return false;
  }
  const std::size_t copy = CopyNumber(packet);
  const milliseconds first_sent = arrived_at - kSynSendTimes.at(copy);
  QueuedSyn queued{packet.flow,
                   {bytes.begin(), bytes.end()},
                   first_sent + kSynSendTimes.at(copy + 1) - kRetransmitMargin};
  const Queue::iterator position =
      this->queues[packet.flow.service].emplace(first_sent, std::move(queued));
  this->positions.emplace(packet.flow, position);
  return true;
}

void SynQueue::Forget(const common::FlowKey& flow) {
  if (const auto position = this->positions.find(flow);
      position != this->positions.end()) {
    this->Remove(this->queues.find(flow.service), position->second);
  }
}

std::optional<QueuedSyn> SynQueue::Take(const common::Endpoint& route,
                                        milliseconds in_time,
                                        milliseconds now) {
  auto queue = this->queues.find(route);
  while (queue != this->queues.end()) {
    const Queue::iterator newest = std::prev(queue->second.end());
    const bool can_be_in_time = now - newest->first <= in_time;
    QueuedSyn taken =
        this->Remove(queue, can_be_in_time ? newest : queue->second.begin());
    if (taken.superseded_at > now) {
      return taken;
    }
    queue = this->queues.find(route);
  }
  return std::nullopt;
}

std::optional<QueuedSyn> SynQueue::Take(const common::FlowKey& flow) {
  const auto position = this->positions.find(flow);
  if (position == this->positions.end()) {
    return std::nullopt;
  }
  return this->Remove(this->queues.find(flow.service), position->second);
}

std::size_t SynQueue::Expire(milliseconds now) {
  std::vector<common::FlowKey> superseded;
  for (const auto& [flow, position] : this->positions) {
    if (position->second.superseded_at <= now) {
      superseded.push_back(flow);
    }
  }
  for (const common::FlowKey& flow : superseded) {
    this->Forget(flow);
  }
  return superseded.size();
}

bool SynQueue::Full() const { return this->positions.size() >= kMaxQueued; }

void SynQueue::Clear() {
  this->queues.clear();
  this->positions.clear();
}

std::vector<common::Endpoint> SynQueue::Routes() const {
  std::vector<common::Endpoint> routes;
  for (const auto& [route, queue] : this->queues) {
    routes.push_back(route);
  }
  return routes;
}

QueuedSyn SynQueue::Remove(Queues::iterator queue, Queue::iterator queued) {
  QueuedSyn removed = std::move(queued->second);
  queue->second.erase(queued);
  if (queue->second.empty()) {
    this->queues.erase(queue);
  }
  this->positions.erase(removed.flow);
  return removed;
}

}  // namespace sassafrasdyke::core
