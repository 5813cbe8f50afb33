/// Limits the messages that are taken from one peer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "common/token_bucket.h"

namespace sassafrasdyke::peer {

/// What of a peer's budget is spent.
enum class ReceiveLimit : std::uint8_t { kMessages, kBytes, kCount };

/// The metrics' word for a limit.
std::string_view Word(ReceiveLimit limit);

/// What one peer may send: far above the published budgets, so that only a
/// peer that has lost its own limits meets these.
struct ReceiveLimits {
  common::BucketLimits messages{.per_second = 1000, .burst = 4096};
  /// Encoded, frame headers included. The burst must hold the greatest frame.
  common::BucketLimits bytes{.per_second = std::size_t{1} << 20U,
                             .burst = std::size_t{4} << 20U};
};

/// The budget of one peer.
class ReceiveLimiter {
 public:
  explicit ReceiveLimiter(const ReceiveLimits& limits);

  /// Pays for the next message, of `bytes`, at `now`; otherwise tells what is
  /// spent, and the same message is asked for again later.
  std::optional<ReceiveLimit> Take(std::size_t bytes,
                                   std::chrono::milliseconds now);

 private:
  common::TokenBucket messages;
  common::TokenBucket bytes;
  bool message_paid{false};  ///< The next message waits for its bytes only.
};

}  // namespace sassafrasdyke::peer
