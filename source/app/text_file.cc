#include "app/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace sassafrasdyke::app {

tl::expected<std::string, std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    return tl::unexpected("can't open " + path + ": " + std::strerror(errno));
  }
  std::string text{std::istreambuf_iterator<char>(file), {}};
  // A folder opens, but its first read fails.
  if (file.bad()) {
    return tl::unexpected("can't read " + path);
  }
  return text;
}

}  // namespace sassafrasdyke::app
