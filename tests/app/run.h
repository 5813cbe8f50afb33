/// Runs the program's command line inside a test.
#pragma once

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "app/program.h"

namespace sassafrasdyke::app {

/// What a run of the program left.
struct Ran {
  ExitCode code;
  std::string out;
  std::string err;
};

inline Ran RunWith(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunProgram(AllCommands(), arguments, {out, err});
  return {code, out.str(), err.str()};
}

/// A folder of files that goes with the test.
class TestFolder {
 public:
  TestFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "sassafrasdyke-XXXXXX")
            .string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    this->path = name;
  }
  ~TestFolder() { std::filesystem::remove_all(this->path); }
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  /// Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& text) const {
    const std::filesystem::path file = this->path / name;
    std::ofstream(file) << text;
    return file.string();
  }

  std::filesystem::path path;
};

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace sassafrasdyke::app
