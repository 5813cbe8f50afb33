#include "peer/peer_counts.h"

namespace sassafrasdyke::peer {
namespace {

constexpr std::size_t kReasons = static_cast<std::size_t>(CutReason::kCount);
/// In the order of the enumeration.
constexpr std::array<std::string_view, kReasons> kWords{
    "not-listed",  "other-fleet",     "other-version",
    "misdirected", "old-incarnation", "no-configuration",
    "too-many",    "no-hello",        "tls",
    "protocol",    "too-long",        "malformed",
    "silent",      "refused",         "lost",
    "replaced",    "unlisted",        "unused"};

}  // namespace

std::string_view Word(CutReason reason) {
  const auto position = static_cast<std::size_t>(reason);
  return position < kWords.size() ? kWords[position] : "unknown";
}

}  // namespace sassafrasdyke::peer
