/// Bounds of what a peer's load report may state.
#pragma once

#include <cstddef>
#include <string>

#include "core/load/load_report.h"

namespace sassafrasdyke::core {

/// Limit of the failure domains that digests can make this instance keep.
inline constexpr std::size_t kMaxDomains = 64;

/// Whether it is a name of a failure domain: not empty, at most 64 bytes.
bool IsDomainName(const std::string& name);
/// Whether there are at most 16 entries with values from 0 to 10^6.
bool IsValid(const LoadReport& report);
/// Whether the mean is valid, and the counts and the age are plausible.
bool IsValid(const DomainReport& report);

}  // namespace sassafrasdyke::core
