/// One instance that steers flows by the word they carry: sockets, timers and
/// signals around the core, on one loop.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "config/front_settings.h"
#include "core/steering/packet_format.h"
#include "core/view/publication.h"

namespace sassafrasdyke::front {

/// What the process needs of the platform's adapter; outlives it.
struct FrontAdapter {
  const core::Publication& publication;
  const core::PacketFormat& packets;
  /// Reads the settings again.
  std::function<tl::expected<config::FrontSettings, core::DocumentFaults>()>
      read_settings;
  /// Whether the settings' file was written since this was last asked.
  std::function<bool()> settings_changed;
};

/// Runs until told to stop. The error is a sentence for a person.
tl::expected<void, std::string> RunFront(const config::FrontSettings& settings,
                                         const FrontAdapter& adapter);

}  // namespace sassafrasdyke::front
