/// What every subcommand of the program has.
#pragma once

#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/fleet.h"

namespace sassafrasdyke::app {

/// How the program ends.
enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,  ///< It could not do what was asked.
  kInvalid = 2,  ///< The options or a checked file are wrong.
};

/// Where a command writes. Standard streams in the program.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

/// One subcommand.
class Command {
 public:
  virtual ~Command() = default;

  virtual std::string_view Name() const = 0;
  /// One line for the program's help.
  virtual std::string_view Summary() const = 0;
  /// Declares the options and texts of `--help`.
  virtual void Declare(cxxopts::Options& options) const = 0;
  /// Runs with options that are known and well-formed.
  virtual ExitCode Run(const cxxopts::ParseResult& options,
                       const Streams& streams) const = 0;
};

/// The value of a string option, or nothing.
std::optional<std::string> ValueOf(const cxxopts::ParseResult& options,
                                   const std::string& name);

/// Writes one line for each fault: file, JSON path, sentence.
void WriteFaults(std::ostream& err, const std::string& file,
                 const core::DocumentFaults& faults);

}  // namespace sassafrasdyke::app
