/// The path of a document's entry, such as "targets/diary-01".
#pragma once

#include <string>
#include <string_view>

namespace sassafrasdyke::config {

/// A path in its two parts; `name` is empty for entries like "fleet".
struct EntryPath {
  std::string group;
  std::string name;

  /// Splits at the first '/'.
  static EntryPath Parse(std::string_view path);
};

}  // namespace sassafrasdyke::config
