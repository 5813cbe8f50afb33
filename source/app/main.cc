/// The program.
#include <iostream>
#include <string>
#include <vector>

#include "app/program.h"
#include "front/reload_signal.h"

int main(int argc, char** argv) {
  sassafrasdyke::front::BlockReloadSignal();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(sassafrasdyke::app::RunProgram(
      sassafrasdyke::app::AllCommands(), arguments, {std::cout, std::cerr}));
}
