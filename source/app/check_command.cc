#include "app/check_command.h"

#include <array>
#include <string>

#include "app/text_file.h"
#include "config/configuration_reader.h"
#include "config/front_settings.h"
#include "config/settings.h"

namespace sassafrasdyke::app {
namespace {

/// A kind of file that can be checked.
struct CheckedFile {
  const char* option;
  const char* help;
  core::DocumentFaults (*faults_of)(std::string_view);
};

/// The faults of what a reader of `config` returns.
template <auto kRead>
core::DocumentFaults FaultsOf(std::string_view text) {
  const auto read = kRead(text);
  return read ? core::DocumentFaults{} : read.error();
}

const std::array<CheckedFile, 4> kFiles = {
    {{"settings", "Settings of one process", &FaultsOf<&config::ReadSettings>},
     {"front", "Settings of one process of `front`",
      &FaultsOf<&config::ReadFrontSettings>},
     {"configuration", "Configuration of the fleet, as published",
      &FaultsOf<&config::ReadConfigurationText>},
     {"instances", "Instance list, as published",
      &FaultsOf<&config::ReadInstancesText>}}};

ExitCode CheckOne(const CheckedFile& kind, const std::string& path,
                  const Streams& streams) {
  const auto text = ReadTextFile(path);
  if (!text) {
    streams.err << text.error() << "\n";
    return ExitCode::kInvalid;
  }
  const core::DocumentFaults faults = kind.faults_of(*text);
  WriteFaults(streams.err, path, faults);
  if (!faults.empty()) {
    return ExitCode::kInvalid;
  }
  streams.out << path << ": no faults\n";
  return ExitCode::kSuccess;
}

}  // namespace

void CheckCommand::Declare(cxxopts::Options& options) const {
  options.custom_help(
      "[--settings FILE] [--front FILE] [--configuration FILE] "
      "[--instances FILE]");
  for (const CheckedFile& kind : kFiles) {
    options.add_options()(kind.option, kind.help, cxxopts::value<std::string>(),
                          "FILE");
  }
}

ExitCode CheckCommand::Run(const cxxopts::ParseResult& options,
                           const Streams& streams) const {
  bool any = false;
  ExitCode code = ExitCode::kSuccess;
  for (const CheckedFile& kind : kFiles) {
    if (const auto path = ValueOf(options, kind.option)) {
      any = true;
      const ExitCode one = CheckOne(kind, *path, streams);
      code = one == ExitCode::kSuccess ? code : one;
    }
  }
  if (!any) {
    streams.err << "check needs --settings, --front, --configuration or "
                   "--instances\n";
    return ExitCode::kInvalid;
  }
  return code;
}

}  // namespace sassafrasdyke::app
