/// What is logged, as values; the writer turns them into lines.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "common/ids.h"
#include "config/settings.h"
#include "core/configuration.h"
#include "core/decision.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::observe {

/// The subsystem a line comes from; the line's `channel`.
enum class LogChannel : std::uint8_t {
  kFlow,
  kPartition,
  kFleet,
  kPlatform,
  kPeer,
  kDatapath,
  kProcess,
};

/// The log's word for a channel; stable, documented in OPERATIONS-BALANCE.md.
std::string_view Word(LogChannel channel);

/// Something that happened to the process itself or at its edges.
struct ProcessNote {
  LogChannel channel{LogChannel::kProcess};
  config::LogLevel level{config::LogLevel::kInfo};
  /// A stable word such as "listening"; the line's `event`.
  std::string_view event;
  /// For a person, one sentence; may be empty.
  std::string detail;
};

/// One line to be.
struct LogEvent {
  std::chrono::system_clock::time_point time;
  /// In force when it happened; null before the first one.
  std::shared_ptr<const core::Configuration> configuration;
  std::variant<core::Decision, core::FleetDecision, ProcessNote> what;
};

/// Who writes; the same for all lines of a process.
struct LogIdentity {
  common::InstanceId instance;
  common::DomainId domain;
};

}  // namespace sassafrasdyke::observe
