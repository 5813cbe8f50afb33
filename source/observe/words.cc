#include "observe/words.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace sassafrasdyke::observe {

std::string_view Word(core::DocumentKind kind) {
  return kind == core::DocumentKind::kConfiguration ? "configuration"
                                                    : "instances";
}

std::string_view Word(core::InstanceUse use) {
  switch (use) {
    case core::InstanceUse::kOwner:
      return "owner";
    case core::InstanceUse::kLeaving:
      return "leaving";
    case core::InstanceUse::kSuspected:
      return "suspected";
  }
  return "unknown";
}

std::string_view Word(core::Lease lease) {
  switch (lease) {
    case core::Lease::kHeld:
      return "held";
    case core::Lease::kStale:
      return "stale";
    case core::Lease::kCutOff:
      return "cut-off";
  }
  return "unknown";
}

std::string_view Word(core::TargetState state) {
  return state == core::TargetState::kServing ? "serving" : "draining";
}

std::string_view NameOf(common::ServiceId service,
                        const core::Configuration* configuration) {
  if (configuration == nullptr) {
    return {};
  }
  const auto found =
      std::ranges::find(configuration->services, service, &core::Service::id);
  if (found == configuration->services.end()) {
    return {};
  }
  return found->name;
}

std::string Hex(std::uint64_t value) {
  constexpr std::size_t kDigits = 16;
  std::string text(kDigits + 1, '\0');
  std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
  text.resize(kDigits);
  return text;
}

}  // namespace sassafrasdyke::observe
