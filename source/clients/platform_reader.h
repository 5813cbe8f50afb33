/// Reads what the platform publishes: the configuration and the instance list.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <string>

#include "clients/document_watch.h"
#include "clients/http_client.h"
#include "core/messages.h"

namespace sassafrasdyke::clients {

/// Holds a watch on both documents while it is told to.
class PlatformReader {
 public:
  /// `base_url` is without the name of a document. `listener` and `loop` must
  /// outlive the reader; `seed` varies jitter only.
  PlatformReader(ev::loop_ref loop, const std::string& base_url,
                 const PlatformLimits& limits, std::uint64_t seed,
                 PlatformListener& listener);

  /// Starts or stops reading; the same value twice changes nothing.
  void Watch(bool on);
  /// The revision that this instance has, from whatever source. Older ones
  /// are never passed on, and the platform is asked for newer ones only.
  void HasRevision(core::DocumentKind kind, common::Revision revision);
  const PlatformCounts& Counts(core::DocumentKind kind) const;

 private:
  HttpClient client;
  DocumentWatch configuration;
  DocumentWatch instances;
};

}  // namespace sassafrasdyke::clients
