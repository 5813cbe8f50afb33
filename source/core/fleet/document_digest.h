/// The digest by which instances compare documents without sending them.
#pragma once

#include <cstdint>
#include <vector>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// Hashes one entry: path and body, with the border between them.
std::uint64_t HashOfEntry(const DocumentEntry& entry);

/// The sum of the entries' hashes. A sum, so that a small change of a large
/// document costs only the changed entries.
std::uint64_t DigestOfEntries(const std::vector<DocumentEntry>& entries);

}  // namespace sassafrasdyke::core
