/// Notices that a file was written or replaced, by a look at its status.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sassafrasdyke::app {

/// One file. The first look is made when this is made.
class FileVersion {
 public:
  explicit FileVersion(std::string path);

  /// Whether the file differs from what it was at the last look. A file that
  /// can't be looked at counts as unchanged: it may be being replaced.
  bool Changed();

 private:
  /// What tells two versions apart.
  struct Mark {
    std::uint64_t inode{0};
    std::uint64_t bytes{0};
    std::chrono::nanoseconds written_at{0};

    friend bool operator==(const Mark&, const Mark&) = default;
  };

  Mark Look() const;

  std::string path;
  Mark mark;
};

}  // namespace sassafrasdyke::app
