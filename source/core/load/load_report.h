/// Measured load in the form in which instances report it to each other.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// Names a service in reports: the lower 32 bits of the hash of its name, so
/// that a report's size doesn't depend on the length of names.
using ServiceKey = common::Id<struct ServiceKeyTag, std::uint32_t>;

/// The key of a service. All instances derive the same one.
ServiceKey ServiceKeyOf(const std::string& service);

/// Load that is placed at the targets of a service in one failure domain.
struct LoadEntry {
  ServiceKey service;
  std::string target_domain;
  double requests_per_s{0};
  /// Mean number of requests that are at the targets at once, queued ones
  /// included.
  double concurrency{0};

  friend bool operator==(const LoadEntry&, const LoadEntry&) = default;
};

/// Orders entries, those with the higher concurrency first.
struct LargerLoad {
  bool operator()(const LoadEntry& one, const LoadEntry& other) const {
    return std::tie(one.concurrency, one.requests_per_s) >
           std::tie(other.concurrency, other.requests_per_s);
  }
};

/// Maximum number of entries of a report; the largest are kept.
inline constexpr std::size_t kMaxLoadEntries = 16;

/// Load that one instance places, or the mean of several.
struct LoadReport {
  std::vector<LoadEntry> entries;  ///< The largest first.

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Load of the callers of one failure domain.
struct DomainReport {
  std::string domain;
  std::size_t instances{0};  ///< That share the domain's callers.
  std::size_t reporters{0};  ///< Instances whose reports `mean` is made of.
  std::chrono::milliseconds age{0};
  LoadReport mean;  ///< Of one instance.

  friend bool operator==(const DomainReport&, const DomainReport&) = default;
};

}  // namespace sassafrasdyke::core
