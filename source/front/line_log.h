/// JSON lines on a descriptor, bounded in rate and in memory. A reader that
/// stops reading never stops the process.
///
/// log4cplus' console appender waits for the reader, and a thread that shields
/// the loop from it costs 0.6 MB and its wake-ups; so lines are queued and
/// written when the descriptor takes them.
#pragma once

#include <ev++.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "common/token_bucket.h"

namespace sassafrasdyke::front {

/// Lines by what they tell of; each kind has a budget of its own, so that a
/// flood of one can't hide another.
enum class LineKind : std::uint8_t {
  kProcess,
  kView,
  kPeer,
  kFlow,
  kReset,   ///< Of an open flow; told in the channel of flows.
  kLoad,    ///< Of failure domains.
  kHealth,  ///< Of targets, as the instances of the domain observe it.
};

/// The log's word for a kind; the line's `channel`.
std::string_view Word(LineKind kind);

using LineFields = nlohmann::ordered_json;

/// Writes lines.
class LineLog {
 public:
  /// `identity`: fields that every line has.
  LineLog(ev::loop_ref loop, int descriptor, LineFields identity);
  ~LineLog();
  LineLog(const LineLog&) = delete;
  LineLog& operator=(const LineLog&) = delete;

  /// Queues a line, or counts it as left out. `now` is monotonic.
  void Write(LineKind kind, std::string_view event, const LineFields& fields,
             std::chrono::milliseconds now);
  /// Says what was left out, and writes what is queued as far as the
  /// descriptor takes it. Called about ten times a second.
  void OnTick(std::chrono::milliseconds now);

  std::uint64_t LeftOut() const { return this->left_out; }
  std::uint64_t Written() const { return this->written; }

 private:
  static constexpr std::size_t kKinds = 7;

  /// One kind's budget and what it has kept out.
  struct Budget {
    common::TokenBucket bucket;
    std::uint64_t omitted{0};
  };

  void Append(LineKind kind, std::string_view event, const LineFields& fields,
              std::chrono::milliseconds now);
  void OnWritable(ev::io& watcher, int events);
  void Drain();

  const int descriptor;
  const LineFields identity;
  std::array<Budget, kKinds> budgets;
  std::string unsent;
  ev::io writable;
  std::uint64_t left_out{0};
  std::uint64_t written{0};
};

}  // namespace sassafrasdyke::front
