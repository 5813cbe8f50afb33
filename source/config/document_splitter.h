/// Turns the platform's text of a document into entries, so that a change of
/// one entry travels alone between instances.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::config {

/// What splitting made of a text.
struct SplitResult {
  core::Document document;      ///< What could be split.
  core::DocumentFaults faults;  ///< Every fault of the outer shape.
};

/// Splits `json` as far as its shape allows.
SplitResult SplitAsFarAsPossible(core::DocumentKind kind,
                                 std::string_view json);

/// Splits `json` into the entries `fleet`, `hash_seed`, `defaults`,
/// `exceptions`, `domains/NAME`, `services/NAME`, `targets/NAME` or
/// `instances/NAME`, sorted by path, each body compact JSON. Refuses what has
/// no revision, an unknown key or a name that isn't one.
tl::expected<core::Document, core::DocumentFaults> SplitDocument(
    core::DocumentKind kind, std::string_view json);

}  // namespace sassafrasdyke::config
