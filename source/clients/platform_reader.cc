#include "clients/platform_reader.h"

namespace sassafrasdyke::clients {

PlatformReader::PlatformReader(ev::loop_ref loop, const std::string& base_url,
                               const PlatformLimits& limits, std::uint64_t seed,
                               PlatformListener& listener)
    : client(loop),
      configuration(loop, this->client, base_url + "/configuration",
                    core::DocumentKind::kConfiguration, limits, seed, listener),
      instances(loop, this->client, base_url + "/instances",
                core::DocumentKind::kInstances, limits, seed + 1, listener) {}

void PlatformReader::Watch(bool on) {
  this->configuration.Watch(on);
  this->instances.Watch(on);
}

void PlatformReader::HasRevision(core::DocumentKind kind,
                                 common::Revision revision) {
  if (kind == core::DocumentKind::kConfiguration) {
    this->configuration.HasRevision(revision);
  } else {
    this->instances.HasRevision(revision);
  }
}

const PlatformCounts& PlatformReader::Counts(core::DocumentKind kind) const {
  return kind == core::DocumentKind::kConfiguration
             ? this->configuration.Counts()
             : this->instances.Counts();
}

}  // namespace sassafrasdyke::clients
