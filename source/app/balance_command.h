/// `balance`: forwards packets until it is told to stop.
#pragma once

#include "app/command.h"

namespace sassafrasdyke::app {

class BalanceCommand final : public Command {
 public:
  std::string_view Name() const override { return "balance"; }
  std::string_view Summary() const override {
    return "Balance flows as one instance of the fleet";
  }
  void Declare(cxxopts::Options& options) const override;
  ExitCode Run(const cxxopts::ParseResult& options,
               const Streams& streams) const override;
};

}  // namespace sassafrasdyke::app
