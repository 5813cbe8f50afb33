#include "app/front_command.h"
#include "app/program.h"

namespace sassafrasdyke::app {

Commands AllCommands() {
  Commands commands;
  commands.push_back(std::make_unique<FrontCommand>());
  return commands;
}

}  // namespace sassafrasdyke::app
