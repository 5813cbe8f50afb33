#include "app/text_file.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace sassafrasdyke::app {

tl::expected<std::string, std::string> ReadTextFile(const std::string& path) {
  // A folder opens like a file, but its first read throws.
  if (std::error_code ignored; std::filesystem::is_directory(path, ignored)) {
    return tl::unexpected("can't read " + path + ": it is a folder");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    return tl::unexpected("can't open " + path + ": " + std::strerror(errno));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace sassafrasdyke::app
