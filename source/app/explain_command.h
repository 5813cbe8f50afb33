/// `explain`: says where a flow goes and why.
#pragma once

#include "app/command.h"

namespace sassafrasdyke::app {

class ExplainCommand final : public Command {
 public:
  std::string_view Name() const override { return "explain"; }
  std::string_view Summary() const override {
    return "Explain where a flow goes, from files or from a live instance";
  }
  void Declare(cxxopts::Options& options) const override;
  ExitCode Run(const cxxopts::ParseResult& options,
               const Streams& streams) const override;
};

}  // namespace sassafrasdyke::app
