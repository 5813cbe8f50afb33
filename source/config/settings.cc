#include "config/settings.h"

#include <utility>

namespace sassafrasdyke::config {
namespace {

constexpr std::uint64_t kPathLimit = 4096;

const KeyTable<TunnelSettings>& TunnelKeys() {
  static const KeyTable<TunnelSettings> table = KeyTable<TunnelSettings>().Add(
      "listen", &TunnelSettings::listen, EndpointText{}, KeyUse::kRequired,
      "UDP address for packets; the instance list must publish the same.");
  return table;
}

const KeyTable<TlsSettings>& TlsKeys() {
  static const KeyTable<TlsSettings> table =
      KeyTable<TlsSettings>()
          .Add("certificate", &TlsSettings::certificate, Text{1, kPathLimit},
               KeyUse::kRequired,
               "File of this instance's certificates, PEM; the first names its "
               "control address as a subject alternative name.")
          .Add("key", &TlsSettings::key, Text{1, kPathLimit}, KeyUse::kRequired,
               "File of its private key, PEM.")
          .Add("authority", &TlsSettings::authority, Text{1, kPathLimit},
               KeyUse::kRequired, "File of the certificates that sign peers.");
  return table;
}

const KeyTable<ControlSettings>& ControlKeys() {
  static const KeyTable<ControlSettings> table =
      KeyTable<ControlSettings>()
          .Add("listen", &ControlSettings::listen, EndpointText{},
               KeyUse::kRequired,
               "TCP address for peers; the instance list must publish the "
               "same.")
          .AddSection("tls", &ControlSettings::tls, TlsKeys(),
                      "Mutual TLS between instances; plain TCP without it.");
  return table;
}

const KeyTable<MetricsSettings>& MetricsKeys() {
  static const KeyTable<MetricsSettings> table =
      KeyTable<MetricsSettings>().Add(
          "listen", &MetricsSettings::listen, EndpointText{true},
          KeyUse::kRequired, "TCP address for metrics and explanations.");
  return table;
}

const KeyTable<PlatformSettings>& PlatformKeys() {
  static const KeyTable<PlatformSettings> table =
      KeyTable<PlatformSettings>().Add("url", &PlatformSettings::url, HttpUrl{},
                                       KeyUse::kRequired,
                                       "Base URL of the platform's service.");
  return table;
}

const KeyTable<FabricSettings>& FabricKeys() {
  static const KeyTable<FabricSettings> table = KeyTable<FabricSettings>().Add(
      "return", &FabricSettings::return_to, EndpointText{}, KeyUse::kRequired,
      "UDP address for resets to callers.");
  return table;
}

const KeyTable<LogSettings>& LogKeys() {
  static const Choice<LogLevel> levels{{{"trace", LogLevel::kTrace},
                                        {"debug", LogLevel::kDebug},
                                        {"info", LogLevel::kInfo},
                                        {"warn", LogLevel::kWarn},
                                        {"error", LogLevel::kError}}};
  static const KeyTable<LogSettings> table =
      KeyTable<LogSettings>()
          .Add("level", &LogSettings::level, levels, KeyUse::kOptional,
               "Least level of the lines that are written.")
          .Add("file", &LogSettings::file, Text{0, kPathLimit},
               KeyUse::kOptional, "File of the log; empty: standard output.");
  return table;
}

KeyTable<Settings> MakeSettingsKeys() {
  KeyTable<Settings> table;
  table
      .Add("instance", &Settings::instance, IdNumber{}, KeyUse::kRequired,
           "This instance's number on the instance list.")
      .Add("domain", &Settings::domain, IdNumber{}, KeyUse::kRequired,
           "The number of its failure domain.")
      .AddSection("tunnel", &Settings::tunnel, TunnelKeys(), KeyUse::kRequired,
                  "Packets in and out.")
      .AddSection("control", &Settings::control, ControlKeys(),
                  KeyUse::kRequired, "Streams between instances.")
      .AddSection("metrics", &Settings::metrics, MetricsKeys(),
                  KeyUse::kRequired, "What operators read.")
      .AddSection("platform", &Settings::platform, PlatformKeys(),
                  KeyUse::kRequired, "What this instance reads.")
      .AddSection("fabric", &Settings::fabric, FabricKeys(), KeyUse::kRequired,
                  "Who hands over packets.")
      .AddSection("log", &Settings::log, LogKeys(), KeyUse::kOptional,
                  "The decision log.");
  return table;
}

const KeyTable<Settings>& SettingsKeys() {
  static const KeyTable<Settings> table = MakeSettingsKeys();
  return table;
}

}  // namespace

tl::expected<Settings, core::DocumentFaults> ReadSettings(
    std::string_view json) {
  const auto parsed = ParseJson(json, "");
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  Settings settings;
  core::DocumentFaults faults;
  SettingsKeys().Read(*parsed, "", settings, faults);
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return settings;
}

std::vector<KeyReference> SettingsReference() {
  std::vector<KeyReference> references;
  SettingsKeys().Describe("", references);
  return references;
}

}  // namespace sassafrasdyke::config
