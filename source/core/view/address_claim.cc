#include "core/view/address_claim.h"

#include <tuple>

namespace sassafrasdyke::core {
namespace {

constexpr std::chrono::milliseconds kNoStart{std::chrono::milliseconds::min()};

}  // namespace

// An address is given away only after its target has ended, so the target that
// started last has it. The revision orders writes, and a write of a target that
// has ended may be applied after its successor's; it only decides where no
// start is published.
bool Outranks(const AddressClaim& a, const AddressClaim& b) {
  const auto rank = [](const AddressClaim& claim) {
    return std::make_tuple(claim.service_known,
                           claim.started_at.value_or(kNoStart), claim.revision,
                           claim.name);
  };
  return rank(a) > rank(b);
}

AddressStanding StandingBeside(const AddressClaim& claim,
                               const AddressClaim& holder) {
  // A configuration that names the service may be on its way, and not all
  // programs that register targets need publish starts.
  if (claim.service_known != holder.service_known ||
      claim.started_at.has_value() != holder.started_at.has_value()) {
    return AddressStanding::kContested;
  }
  const bool in_order =
      !claim.started_at ||
      *holder.started_at - *claim.started_at > kMaxClockDifference;
  return in_order ? AddressStanding::kReplaced : AddressStanding::kContested;
}

}  // namespace sassafrasdyke::core
