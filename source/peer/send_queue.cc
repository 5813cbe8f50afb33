#include "peer/send_queue.h"

#include <algorithm>
#include <utility>

#include "core/messages.h"
#include "peer/peer_kinds.h"

namespace sassafrasdyke::peer {

SendQueue::SendQueue(const SendQueueLimits& limits, QueueDropListener& listener)
    : limits(limits), listener(listener) {}

void SendQueue::Push(QueuedMessage message) {
  while (!this->Fits(message)) {
    if (!this->DropOldestHeartbeat()) {
      this->listener.OnQueueDrop(message.kind, QueueDrop::kFull);
      return;
    }
  }
  this->bytes += message.bytes.size();
  this->messages.push_back(std::move(message));
}

std::optional<QueuedMessage> SendQueue::Pop(std::chrono::milliseconds now) {
  while (!this->messages.empty()) {
    QueuedMessage message = std::move(this->messages.front());
    this->messages.pop_front();
    this->bytes -= message.bytes.size();
    if (now - message.queued_at <= this->limits.age) {
      return message;
    }
    this->listener.OnQueueDrop(message.kind, QueueDrop::kOld);
  }
  return std::nullopt;
}

bool SendQueue::Fits(const QueuedMessage& message) const {
  return this->messages.size() < this->limits.messages &&
         this->bytes + message.bytes.size() <= this->limits.bytes;
}

bool SendQueue::DropOldestHeartbeat() {
  const auto oldest =
      std::find_if(this->messages.begin(), this->messages.end(),
                   [](const QueuedMessage& message) {
                     return message.kind == kKindOf<core::Heartbeat>;
                   });
  if (oldest == this->messages.end()) {
    return false;
  }
  this->bytes -= oldest->bytes.size();
  this->messages.erase(oldest);
  this->listener.OnQueueDrop(kKindOf<core::Heartbeat>, QueueDrop::kFull);
  return true;
}

}  // namespace sassafrasdyke::peer
