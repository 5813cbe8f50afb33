#include "app/balance_command.h"
#include "app/check_command.h"
#include "app/explain_command.h"
#include "app/front_command.h"
#include "app/program.h"

namespace sassafrasdyke::app {

Commands AllCommands() {
  Commands commands;
  commands.push_back(std::make_unique<FrontCommand>());
  commands.push_back(std::make_unique<BalanceCommand>());
  commands.push_back(std::make_unique<CheckCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  return commands;
}

}  // namespace sassafrasdyke::app
