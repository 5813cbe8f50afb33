/// Decides when an instance that was told to stop may end.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace sassafrasdyke::front {

/// Why a stopping instance ends.
enum class StopEnd {
  kQuiet,     ///< The routers have stopped sending.
  kDeadline,  ///< It would be killed soon.
};

/// The log's word for an end.
std::string_view Word(StopEnd end);

/// No flow is lost when the process ends, only packets that still come. So it
/// stays until the routers have noticed and nothing more arrives.
class StopWatch {
 public:
  /// `grace`: from the order to stop until the process is killed.
  explicit StopWatch(std::chrono::milliseconds grace) : grace(grace) {}

  /// Being told again changes nothing.
  void OnStop(std::chrono::milliseconds now);
  void OnPacket(std::chrono::milliseconds now) { this->last_packet = now; }
  bool Stopping() const { return this->since.has_value(); }
  std::optional<StopEnd> Ends(std::chrono::milliseconds now) const;

 private:
  std::chrono::milliseconds grace;
  std::optional<std::chrono::milliseconds> since;
  std::chrono::milliseconds last_packet{0};
};

}  // namespace sassafrasdyke::front
