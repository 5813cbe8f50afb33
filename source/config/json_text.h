/// Reads JSON text with comments, as settings and configurations are written,
/// and says what is wrong with it instead of throwing.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

using Json = nlohmann::json;

/// Objects and arrays inside each other that a text may hold.
inline constexpr std::size_t kDepthLimit = 16;

/// Parses `text`. Faults are broken syntax (with its line and column), a key
/// that an object holds twice, and nesting deeper than `kDepthLimit`. Paths of
/// faults start with `root`, such as "/targets/diary-01".
tl::expected<Json, core::DocumentFaults> ParseJson(std::string_view text,
                                                   const std::string& root);

/// The JSON pointer of the member `key` of the object at `path`.
std::string ChildPath(const std::string& path, std::string_view key);

/// `text` in quotes for a person: shortened, without control characters.
std::string Quoted(std::string_view text);

}  // namespace sassafrasdyke::config
