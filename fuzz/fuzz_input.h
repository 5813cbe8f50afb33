/// What the fuzz targets share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace sassafrasdyke::fuzz {

/// The fuzzer's bytes as text.
inline std::string_view Text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Stops the fuzzer, which keeps the input, unless `holds`.
inline void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

}  // namespace sassafrasdyke::fuzz
