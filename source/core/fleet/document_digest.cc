#include "core/fleet/document_digest.h"

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kPathSeed = 1;

}  // namespace

std::uint64_t HashOfEntry(const DocumentEntry& entry) {
  // The path's hash seeds the body's, so that moving text from the end of the
  // path to the start of the body changes the hash.
  const std::uint64_t path =
      common::HashBytes(entry.path.data(), entry.path.size(), kPathSeed);
  return common::HashBytes(entry.body.data(), entry.body.size(), path);
}

std::uint64_t DigestOfEntries(const std::vector<DocumentEntry>& entries) {
  std::uint64_t digest = 0;
  for (const DocumentEntry& entry : entries) {
    digest += HashOfEntry(entry);
  }
  return digest;
}

}  // namespace sassafrasdyke::core
