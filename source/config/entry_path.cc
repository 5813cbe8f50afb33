#include "config/entry_path.h"

namespace sassafrasdyke::config {

EntryPath EntryPath::Parse(std::string_view path) {
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return {std::string(path), ""};
  }
  return {std::string(path.substr(0, slash)),
          std::string(path.substr(slash + 1))};
}

}  // namespace sassafrasdyke::config
