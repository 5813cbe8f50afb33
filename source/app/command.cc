#include "app/command.h"

namespace sassafrasdyke::app {

std::optional<std::string> ValueOf(const cxxopts::ParseResult& options,
                                   const std::string& name) {
  if (options.count(name) == 0) {
    return std::nullopt;
  }
  return options[name].as<std::string>();
}

void WriteFaults(std::ostream& err, const std::string& file,
                 const core::DocumentFaults& faults) {
  for (const core::DocumentFault& fault : faults) {
    const std::string path = fault.path.empty() ? "/" : fault.path;
    err << file << ": " << path << ": " << fault.what << "\n";
  }
}

}  // namespace sassafrasdyke::app
