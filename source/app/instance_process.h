/// One running instance: makes its tasks, joins them, and ends them in order.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"

namespace sassafrasdyke::app {

/// Runs until the instance has left after SIGTERM or SIGINT. The error is a
/// sentence for a person that says what could not be opened.
tl::expected<void, std::string> RunInstance(const config::Settings& settings);

}  // namespace sassafrasdyke::app
