/// The operators' reference of every key, as a page in Markdown.
#pragma once

#include <string>

namespace sassafrasdyke::config {

/// The whole page, made from the tables that the readers use; the repository
/// keeps it as docs/REFERENCE.md.
std::string ReferencePage();

}  // namespace sassafrasdyke::config
