#include "app/file_version.h"

#include <sys/stat.h>

#include <utility>

namespace sassafrasdyke::app {

FileVersion::FileVersion(std::string path)
    : path(std::move(path)), mark(this->Look()) {}

bool FileVersion::Changed() {
  const Mark now = this->Look();
  const bool changed = now != this->mark;
  this->mark = now;
  return changed;
}

FileVersion::Mark FileVersion::Look() const {
  struct stat status {};
  if (stat(this->path.c_str(), &status) != 0) {
    return this->mark;
  }
  return {status.st_ino, static_cast<std::uint64_t>(status.st_size),
          std::chrono::seconds(status.st_mtim.tv_sec) +
              std::chrono::nanoseconds(status.st_mtim.tv_nsec)};
}

}  // namespace sassafrasdyke::app
