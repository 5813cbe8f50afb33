/// `sassafrasdyke front`: one instance that steers flows by the word that they
/// carry, on the users' platform.
#pragma once

#include "app/command.h"

namespace sassafrasdyke::app {

/// Runs the instance until it is told to stop.
class FrontCommand final : public Command {
 public:
  std::string_view Name() const override { return "front"; }
  std::string_view Summary() const override {
    return "run one instance on the platform, steering by carried words";
  }
  void Declare(cxxopts::Options& options) const override;
  ExitCode Run(const cxxopts::ParseResult& options,
               const Streams& streams) const override;
};

}  // namespace sassafrasdyke::app
