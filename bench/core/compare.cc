/// Prints, for each change and fault, how the product fares beside a naive
/// balancer and beside itself without copies: core_compare [SEEDS].
#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "core/model/callers.h"
#include "core/model/local_table_balancer.h"
#include "core/model/scenarios.h"
#include "core/model/small_fleet.h"
#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr double kMillisecondsPerSecond = 1000.0;

/// What is compared.
enum class Variant { kLocalTable, kWithoutCopies, kCore };

/// The figures of one run.
struct Result {
  double broken{0};
  double imbalance{0};  ///< Greatest over mean of the open flows a target.
  double control{0};    ///< Bytes a second and instance.
  double control_per_flow{0};
};

/// Least and greatest of several runs.
struct Range {
  double least{1e18};
  double greatest{0};

  void Add(double value) {
    this->least = std::min(this->least, value);
    this->greatest = std::max(this->greatest, value);
  }
  std::string Text(int digits) const {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << this->least;
    if (this->greatest != this->least) {
      out << " to " << this->greatest;
    }
    return out.str();
  }
};

double Imbalance(const Callers& callers) {
  double greatest = 0;
  double sum = 0;
  double targets = 0;
  for (const auto& [target, open] : callers.OpenByTarget()) {
    if (target.value / kTargetsPerServiceLimit != 1) {
      continue;
    }
    greatest = std::max(greatest, static_cast<double>(open));
    sum += static_cast<double>(open);
    targets += 1;
  }
  return sum == 0 ? 0 : greatest * targets / sum;
}

Result Run(const Scenario& scenario, Variant variant, std::uint64_t seed) {
  SmallFleetPlan plan = PlanOfToday(scenario.domains, seed);
  if (variant == Variant::kLocalTable) {
    plan.factory = MakeLocalTableBalancer;
  }
  plan.without_copies = variant == Variant::kWithoutCopies;
  const double instances = plan.instances;
  SmallFleet fleet(std::move(plan));
  Callers callers(fleet);
  scenario.run(fleet, callers, {});
  const auto bytes = static_cast<double>(fleet.ControlBytes());
  const double seconds =
      static_cast<double>(fleet.Now().count()) / kMillisecondsPerSecond;
  Result result;
  result.imbalance = Imbalance(callers);
  callers.SpeakAll();
  const ModelCounts counts = callers.Counts();
  result.broken = static_cast<double>(counts.Broken());
  result.control = bytes / seconds / instances;
  result.control_per_flow = bytes / static_cast<double>(counts.opened);
  return result;
}

void PrintRow(const Scenario& scenario, std::uint64_t seeds) {
  std::cout << "| " << scenario.name << " |";
  std::ostringstream control;
  for (const Variant variant :
       {Variant::kLocalTable, Variant::kWithoutCopies, Variant::kCore}) {
    Range broken;
    Range imbalance;
    Range bytes;
    Range per_flow;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const Result result = Run(scenario, variant, seed);
      broken.Add(result.broken);
      imbalance.Add(result.imbalance);
      bytes.Add(result.control);
      per_flow.Add(result.control_per_flow);
    }
    std::cout << ' ' << broken.Text(0) << " | " << imbalance.Text(2) << " |";
    if (variant == Variant::kCore) {
      control << ' ' << bytes.Text(0) << " | " << per_flow.Text(1) << " |";
    }
  }
  std::cout << control.str() << std::endl;
}

void PrintTable(std::uint64_t seeds) {
  std::cout
      << "| case | naive: broken | naive: imbalance | no copies: broken | "
         "no copies: imbalance | core: broken | core: imbalance | core: "
         "control bytes a second and instance | core: control bytes a new "
         "flow |\n|---|---|---|---|---|---|---|---|---|\n";
  for (const Scenario& scenario : Scenarios()) {
    PrintRow(scenario, seeds);
  }
}

}  // namespace
}  // namespace sassafrasdyke::core::testing

int main(int argc, char** argv) {
  using sassafrasdyke::core::testing::kSeeds;
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : kSeeds;
  sassafrasdyke::core::testing::PrintTable(seeds);
  return 0;
}
