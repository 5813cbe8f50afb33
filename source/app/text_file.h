/// Reads small files whole.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace sassafrasdyke::app {

/// Reads the file at `path`. The error is a sentence for a person.
tl::expected<std::string, std::string> ReadTextFile(const std::string& path);

}  // namespace sassafrasdyke::app
