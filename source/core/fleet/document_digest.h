/// The digest by which instances compare documents without sending them.
#pragma once

#include <cstdint>
#include <vector>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// Hashes one entry: path, body and where one ends and the other begins.
std::uint64_t HashOfEntry(const DocumentEntry& entry);

/// The sum of the entries' hashes. A sum can be updated for a change by hashing
/// only the changed entries.
std::uint64_t DigestOfEntries(const std::vector<DocumentEntry>& entries);

}  // namespace sassafrasdyke::core
