/// The settings of one process: its addresses, its failure domain, and where
/// the platform is. Everything that the fleet shares is published instead.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "config/key_table.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

/// Where packets from the fabric and from peers arrive.
struct TunnelSettings {
  common::Endpoint listen;
};

/// The files of mutual TLS between instances, PEM. Read again when they
/// change.
struct TlsSettings {
  std::string certificate;  ///< Path of this instance's certificate chain.
  std::string key;          ///< Path of its private key.
  std::string authority;    ///< Path of the certificates that sign peers.
};

/// Where peers' streams arrive.
struct ControlSettings {
  common::Endpoint listen;
  std::optional<TlsSettings> tls;  ///< Plain TCP without it.
};

/// Where metrics and explanations are read over HTTP.
struct MetricsSettings {
  common::Endpoint listen;
};

/// The platform's service.
struct PlatformSettings {
  std::string url;  ///< Base URL, without the name of a document.
};

/// The fabric that hands over packets.
struct FabricSettings {
  /// Where resets to callers go, wrapped like every other packet.
  common::Endpoint return_to;
};

/// Least level of the log lines that are written.
enum class LogLevel { kTrace, kDebug, kInfo, kWarn, kError };

/// The log of JSON lines.
struct LogSettings {
  LogLevel level{LogLevel::kInfo};
  std::string file;  ///< Path; empty for standard output.
};

/// All settings of a process.
struct Settings {
  common::InstanceId instance;
  common::DomainId domain;
  TunnelSettings tunnel;
  ControlSettings control;
  MetricsSettings metrics;
  PlatformSettings platform;
  FabricSettings fabric;
  LogSettings log;
};

/// Reads settings, JSON with comments, and checks them; all faults at once.
tl::expected<Settings, core::DocumentFaults> ReadSettings(
    std::string_view json);

/// Every key of the settings, for the operators' reference.
std::vector<KeyReference> SettingsReference();

}  // namespace sassafrasdyke::config
