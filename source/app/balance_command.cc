#include "app/balance_command.h"

#include "app/instance_process.h"
#include "app/text_file.h"
#include "config/settings.h"

namespace sassafrasdyke::app {

void BalanceCommand::Declare(cxxopts::Options& options) const {
  options.custom_help("--settings FILE");
  options.add_options()("settings", "Settings of this process",
                        cxxopts::value<std::string>(), "FILE");
}

ExitCode BalanceCommand::Run(const cxxopts::ParseResult& options,
                             const Streams& streams) const {
  const auto path = ValueOf(options, "settings");
  if (!path) {
    streams.err << "balance needs --settings FILE\n";
    return ExitCode::kInvalid;
  }
  const auto text = ReadTextFile(*path);
  if (!text) {
    streams.err << text.error() << "\n";
    return ExitCode::kInvalid;
  }
  const auto settings = config::ReadSettings(*text);
  if (!settings) {
    WriteFaults(streams.err, *path, settings.error());
    return ExitCode::kInvalid;
  }
  const auto ended = RunInstance(*settings);
  if (!ended) {
    streams.err << ended.error() << "\n";
    return ExitCode::kFailure;
  }
  return ExitCode::kSuccess;
}

}  // namespace sassafrasdyke::app
