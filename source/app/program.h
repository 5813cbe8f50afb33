/// The program's command line: finds the subcommand and reads its options.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "app/command.h"

namespace sassafrasdyke::app {

using Commands = std::vector<std::unique_ptr<Command>>;

/// The subcommands that this build has.
Commands AllCommands();

/// Runs one of `commands` with the arguments after the program's name.
ExitCode RunProgram(const Commands& commands,
                    const std::vector<std::string>& arguments,
                    const Streams& streams);

}  // namespace sassafrasdyke::app
