/// `check`: says what is wrong with a file before it is used.
#pragma once

#include "app/command.h"

namespace sassafrasdyke::app {

class CheckCommand final : public Command {
 public:
  std::string_view Name() const override { return "check"; }
  std::string_view Summary() const override {
    return "Check settings, a configuration or an instance list";
  }
  void Declare(cxxopts::Options& options) const override;
  ExitCode Run(const cxxopts::ParseResult& options,
               const Streams& streams) const override;
};

}  // namespace sassafrasdyke::app
