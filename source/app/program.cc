#include "app/program.h"

#include <algorithm>
#include <memory>

namespace sassafrasdyke::app {
namespace {

constexpr std::string_view kProgram = "sassafrasdyke";

void WriteHelp(std::ostream& out, const Commands& commands) {
  out << kProgram << ": a layer-4 load balancer\n\n"
      << "Usage:\n  " << kProgram << " COMMAND [OPTION...]\n  " << kProgram
      << " COMMAND --help\n  " << kProgram << " --version | --help\n\n"
      << "Commands:\n";
  constexpr std::size_t kColumn = 10;
  for (const auto& command : commands) {
    std::string name(command->Name());
    name.resize(std::max(kColumn, name.size()), ' ');
    out << "  " << name << command->Summary() << "\n";
  }
  out << "\nExit status: 0 success, 1 failure, 2 wrong options or an invalid "
         "file.\n";
}

ExitCode WriteUsageError(const Streams& streams, const std::string& what,
                         const std::string& help_of) {
  streams.err << kProgram << ": " << what << "\n"
              << "Try '" << kProgram << " " << help_of << "--help'.\n";
  return ExitCode::kInvalid;
}

/// cxxopts reads a C argument list.
cxxopts::ParseResult Parse(cxxopts::Options& options,
                           const std::vector<std::string>& arguments) {
  std::vector<const char*> list;
  list.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    list.push_back(argument.c_str());
  }
  return options.parse(static_cast<int>(list.size()), list.data());
}

/// `arguments` starts with the command's name.
ExitCode RunCommand(const Command& command,
                    const std::vector<std::string>& arguments,
                    const Streams& streams) {
  const std::string name(command.Name());
  cxxopts::Options options(std::string(kProgram) + " " + name,
                           std::string(command.Summary()));
  command.Declare(options);
  options.add_options()("h,help", "Show this help");
  try {
    const cxxopts::ParseResult parsed = Parse(options, arguments);
    if (parsed.count("help") != 0) {
      streams.out << options.help();
      return ExitCode::kSuccess;
    }
    if (!parsed.unmatched().empty()) {
      return WriteUsageError(
          streams, "unexpected argument '" + parsed.unmatched().front() + "'",
          name + " ");
    }
    return command.Run(parsed, streams);
  } catch (const cxxopts::exceptions::exception& error) {
    return WriteUsageError(streams, error.what(), name + " ");
  }
}

}  // namespace

ExitCode RunProgram(const Commands& commands,
                    const std::vector<std::string>& arguments,
                    const Streams& streams) {
  if (arguments.empty()) {
    return WriteUsageError(streams, "a command is missing", "");
  }
  const std::string& first = arguments.front();
  if (first == "--help" || first == "-h") {
    WriteHelp(streams.out, commands);
    return ExitCode::kSuccess;
  }
  if (first == "--version") {
    streams.out << kProgram << " " << SASSAFRASDYKE_VERSION << "\n";
    return ExitCode::kSuccess;
  }
  const auto command = std::ranges::find(commands, first, [](const auto& one) {
    return std::string(one->Name());
  });
  if (command == commands.end()) {
    return WriteUsageError(streams, "unknown command '" + first + "'", "");
  }
  return RunCommand(**command, arguments, streams);
}

}  // namespace sassafrasdyke::app
