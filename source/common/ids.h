/// Strong identifiers, so that an instance can't be passed for a target.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>

namespace sassafrasdyke::common {

/// A published number that names one object of the kind `Tag`.
template <typename Tag, typename Rep = std::uint32_t>
struct Id {
  Rep value{0};

  // The check takes the comparison with 0 that the compiler makes of `<` for a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Id&, const Id&) = default;

  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value;
  }
};

/// One entry instance of the fleet, as the instance list numbers it.
using InstanceId = Id<struct InstanceTag>;
/// One upstream target, as the configuration numbers it.
using TargetId = Id<struct TargetTag>;
/// One service (an address and port that callers connect to).
using ServiceId = Id<struct ServiceTag>;
/// One failure domain.
using DomainId = Id<struct DomainTag>;
/// One partition of a service's flows, from 0 to the service's count.
using PartitionNumber = Id<struct PartitionTag>;
/// The number of a published document; only grows.
using Revision = Id<struct RevisionTag, std::uint64_t>;
/// Tells apart two lives of an instance at one address; a later life has a
/// greater number.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/// Numbers the ownership grants that one instance makes for one partition; 0
/// stands for none.
using GrantNumber = Id<struct GrantTag, std::uint16_t>;
/// The hash of a flow's addresses and ports under the published seed.
using Fingerprint = Id<struct FingerprintTag, std::uint64_t>;

}  // namespace sassafrasdyke::common

template <typename Tag, typename Rep>
struct std::hash<sassafrasdyke::common::Id<Tag, Rep>> {
  std::size_t operator()(
      const sassafrasdyke::common::Id<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};
