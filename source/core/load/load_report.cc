#include "core/load/load_report.h"

#include "common/hash.h"

namespace sassafrasdyke::core {

ServiceKey ServiceKeyOf(const std::string& service) {
  return {static_cast<std::uint32_t>(
      common::HashBytes(service.data(), service.size(), 0))};
}

}  // namespace sassafrasdyke::core
