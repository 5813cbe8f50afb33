/// Messages that wait for their peer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace sassafrasdyke::peer {

/// Bounds of what waits for one peer.
struct SendQueueLimits {
  std::size_t messages{1024};
  std::size_t bytes{std::size_t{3} << 20U};  ///< Encoded.
  /// Age at which a message isn't worth sending any more.
  std::chrono::milliseconds age{10'000};
};

/// A message with its encoding.
struct QueuedMessage {
  std::size_t kind{0};  ///< The position in the variant of messages.
  std::string bytes;
  std::chrono::milliseconds queued_at{0};
};

/// Why a message was never sent.
enum class QueueDrop : std::uint8_t { kFull, kOld };

/// Takes note of messages that are dropped.
class QueueDropListener {
 public:
  virtual ~QueueDropListener() = default;
  virtual void OnQueueDrop(std::size_t kind, QueueDrop reason) = 0;
};

/// First in, first out, and bounded. When it is full the oldest heartbeats
/// give way, since the next one says all that they said; when there are none,
/// the new message does, and its sender's own means of healing find the gap.
///
/// A peer that reads slowly, or not at all, would otherwise take this
/// instance's memory; one would see it grow until the kernel ends the process,
/// and the failure spread to the next one.
class SendQueue {
 public:
  /// `listener` must outlive the queue.
  SendQueue(const SendQueueLimits& limits, QueueDropListener& listener);

  void Push(QueuedMessage message);
  /// The oldest message that is still worth sending at `now`.
  std::optional<QueuedMessage> Pop(std::chrono::milliseconds now);
  bool Empty() const { return this->messages.empty(); }
  std::size_t Bytes() const { return this->bytes; }

 private:
  bool Fits(const QueuedMessage& message) const;
  bool DropOldestHeartbeat();

  const SendQueueLimits limits;
  QueueDropListener& listener;
  std::deque<QueuedMessage> messages;
  std::size_t bytes{0};
};

}  // namespace sassafrasdyke::peer
