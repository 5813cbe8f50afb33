/// The program's command line: finds the subcommand and reads its options.
#pragma once

#include <string>
#include <vector>

#include "app/command.h"

namespace sassafrasdyke::app {

/// Runs the program with the arguments after its name.
ExitCode RunProgram(const std::vector<std::string>& arguments,
                    const Streams& streams);

}  // namespace sassafrasdyke::app
