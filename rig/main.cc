/// The program of the stand-ins. It starts no process: what shall be started
/// and stopped it prints, a line each, and scripts/run-scenario does it.
#include <cstdint>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "rig/report.h"
#include "rig/run.h"
#include "rig/scenario.h"

namespace sassafrasdyke::rig {
namespace {

constexpr int kUnsound = 1;
constexpr int kUsage = 2;
/// Bounds a run on any machine.
constexpr std::int64_t kMostSeconds = 600;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "sassafrasdyke-rig",
      "Runs a scenario: platform, fabric, targets and callers as stand-ins.\n"
      "Prints lines such as 'start 1 FILE', 'term 1', 'kill 1', 'freeze 1',\n"
      "'thaw 1' and 'end'; reads 'exited ID CODE' from standard input. Leaves\n"
      "report.txt, report.json and faults.txt in the folder.");
  options.add_options()("scenario", "scenario file (JSON with comments)",
                        cxxopts::value<std::string>())(
      "deployment", "deployment to use in place of the scenario's own",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of every choice",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds",
      "length of the load, and of the timeline with it; 0 is "
      "the scenario's own",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "net", "second byte of all addresses; 0 is the scenario's own",
      cxxopts::value<std::uint32_t>()->default_value("0"))(
      "rate", "multiplies new flows a second",
      cxxopts::value<double>()->default_value("1"))(
      "open", "multiplies open long flows",
      cxxopts::value<double>()->default_value("1"))(
      "folder", "where settings and reports go",
      cxxopts::value<std::string>()->default_value("."))(
      "flood",
      "instead of callers, send packets of this many flows through instance 1\n"
      "as fast as they go",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "naive", "no instances: naive balancers inside the rig, for comparison")(
      "help", "this text");
  return options;
}

void Adjust(Scenario& scenario, const cxxopts::ParseResult& given) {
  const std::chrono::seconds own = scenario.length;
  if (const auto seconds = given["seconds"].as<std::int64_t>(); seconds > 0) {
    scenario.length = std::chrono::seconds{seconds};
  }
  scenario.length =
      std::min(scenario.length, std::chrono::seconds{kMostSeconds});
  for (ScenarioStep& step : scenario.timeline) {
    step.at = step.at * scenario.length.count() / own.count();
  }
  if (const auto net = given["net"].as<std::uint32_t>(); net > 0) {
    scenario.net = net;
  }
  for (ScenarioService& service : scenario.services) {
    service.flows_per_second *= given["rate"].as<double>();
    service.long_flows = static_cast<std::size_t>(
        static_cast<double>(service.long_flows) * given["open"].as<double>());
  }
}

void Write(const Report& report, const std::filesystem::path& folder) {
  std::ofstream(folder / "report.txt") << ToTable(report);
  std::ofstream(folder / "report.json") << ToJson(report).dump() << '\n';
  std::ofstream faults(folder / "faults.txt");
  for (const std::string& fault : report.faults) {
    faults << fault << '\n';
  }
}

int Main(int argc, const char* const* argv) {
  cxxopts::Options options = MakeOptions();
  const auto given = options.parse(argc, argv);
  if (given.count("help") > 0 || given.count("scenario") == 0) {
    std::cerr << options.help();
    return given.count("help") > 0 ? 0 : kUsage;
  }
  auto scenario = LoadScenario(given["scenario"].as<std::string>(),
                               given["deployment"].as<std::string>());
  if (!scenario) {
    std::cerr << "can't read the scenario\n";
    for (const auto& fault : scenario.error()) {
      std::cerr << "  " << fault << '\n';
    }
    return kUsage;
  }
  Adjust(*scenario, given);
  const std::filesystem::path folder(given["folder"].as<std::string>());
  std::filesystem::create_directories(folder);
  Run run(*scenario,
          {.seed = given["seed"].as<std::uint64_t>(),
           .folder = folder,
           .naive = given.count("naive") > 0,
           .flood_flows = given["flood"].as<std::size_t>()},
          std::cout);
  const Report report = run.Execute();
  Write(report, folder);
  return Sound(report) ? 0 : kUnsound;
}

}  // namespace
}  // namespace sassafrasdyke::rig

int main(int argc, char** argv) {
  try {
    return sassafrasdyke::rig::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "sassafrasdyke-rig: " << error.what() << '\n';
    return 2;
  }
}
