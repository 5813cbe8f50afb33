/// One HTTP GET, for commands that ask a live instance.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "common/address.h"

namespace sassafrasdyke::app {

/// One argument of a URL.
struct QueryArgument {
  std::string name;
  std::string value;
};

/// Gets `path` from `server`. Waits a few seconds at most. The error, also for
/// a status other than 200, is a sentence for a person.
tl::expected<std::string, std::string> HttpGet(const common::Endpoint& server,
                                               const std::string& path,
                                               const QueryArgument& argument);

}  // namespace sassafrasdyke::app
