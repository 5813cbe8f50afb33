#include "front/stop_watch.h"

namespace sassafrasdyke::front {
namespace {

/// The routers check twice a second and need two misses; half a second more
/// covers a check that was just under way.
constexpr std::chrono::milliseconds kRoutersNotice{1500};
/// Quiet after which nothing more is expected: longer than the first repeat of
/// a client's packet (200 ms), so that one that is under way still gets
/// through.
constexpr std::chrono::milliseconds kQuiet{400};
/// Kept from the grace, for the end itself.
constexpr std::chrono::milliseconds kReserve{500};

}  // namespace

std::string_view Word(StopEnd end) {
  return end == StopEnd::kQuiet ? "quiet" : "deadline";
}

void StopWatch::OnStop(std::chrono::milliseconds now) {
  if (!this->since) {
    this->since = now;
  }
}

std::optional<StopEnd> StopWatch::Ends(std::chrono::milliseconds now) const {
  if (!this->since) {
    return std::nullopt;
  }
  const std::chrono::milliseconds stopping = now - *this->since;
  if (stopping >= this->grace - kReserve) {
    return StopEnd::kDeadline;
  }
  const bool noticed = stopping >= kRoutersNotice;
  if (noticed && now - this->last_packet >= kQuiet) {
    return StopEnd::kQuiet;
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::front
