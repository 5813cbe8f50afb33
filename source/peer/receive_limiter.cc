#include "peer/receive_limiter.h"

namespace sassafrasdyke::peer {

std::string_view Word(ReceiveLimit limit) {
  return limit == ReceiveLimit::kMessages ? "messages" : "bytes";
}

ReceiveLimiter::ReceiveLimiter(const ReceiveLimits& limits)
    : messages(limits.messages), bytes(limits.bytes) {}

std::optional<ReceiveLimit> ReceiveLimiter::Take(
    std::size_t bytes, std::chrono::milliseconds now) {
  if (!this->message_paid && !this->messages.Take(1, now)) {
    return ReceiveLimit::kMessages;
  }
  this->message_paid = true;
  if (!this->bytes.Take(bytes, now)) {
    return ReceiveLimit::kBytes;
  }
  this->message_paid = false;
  return std::nullopt;
}

}  // namespace sassafrasdyke::peer
