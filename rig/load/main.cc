/// Plays load scenarios, or drawn deployments, with policies side by side.
#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "rig/load/load_comparison.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {
namespace {

void PrintLine(const LoadComparison& compared) {
  std::cout << std::fixed << std::setprecision(4) << compared.scenario.name;
  for (const PolicyVariant variant : kPolicyVariants) {
    std::cout << "  " << Word(variant) << " " << compared.Worth(variant);
  }
  std::cout << "  ratio " << compared.Ratio() << "  "
            << Describe(compared.scenario) << "\n";
}

void WriteCsv(const LoadComparison& compared, std::ostream& out) {
  out << "policy,second,domain,asked,in_time,late,failed\n";
  for (const auto& [variant, outcome] : compared.outcomes) {
    for (std::size_t second = 0; second < outcome.cells.size(); ++second) {
      for (std::size_t d = 0; d < outcome.cells[second].size(); ++d) {
        const LoadCell& cell = outcome.cells[second][d];
        out << Word(variant) << "," << second << "," << d << "," << cell.asked
            << "," << cell.in_time << "," << cell.late << "," << cell.failed
            << "\n";
      }
    }
  }
}

/// `trouble` replaces the drawn one.
LoadScenario DrawWith(std::uint64_t seed, std::optional<LoadTrouble> trouble) {
  LoadScenario scenario = DrawLoadScenario(seed);
  scenario.event.trouble = trouble.value_or(scenario.event.trouble);
  return scenario;
}

int PlayDrawn(std::uint64_t first_seed, std::size_t count,
              std::optional<LoadTrouble> trouble) {
  constexpr std::size_t kShown = 10;
  std::vector<LoadComparison> all;
  for (std::size_t i = 0; i < count; ++i) {
    all.push_back(Compare(DrawWith(first_seed + i, trouble)));
  }
  std::ranges::sort(all, {}, &LoadComparison::Ratio);
  double sum = 0;
  std::size_t below = 0;
  for (const LoadComparison& compared : all) {
    sum += compared.Ratio();
    below += compared.Ratio() < kLeastRatio ? 1 : 0;
  }
  std::cout << count << " drawn deployments, mean ratio " << std::fixed
            << std::setprecision(4) << sum / static_cast<double>(count) << ", "
            << below << " below " << std::setprecision(2) << kLeastRatio
            << "; the lowest:\n";
  for (std::size_t i = 0; i < std::min(kShown, all.size()); ++i) {
    PrintLine(all[i]);
  }
  return EXIT_SUCCESS;
}

int PlayOne(const LoadScenario& scenario, const std::string& csv) {
  const LoadComparison compared = Compare(scenario);
  PrintLine(compared);
  if (csv.empty()) {
    return EXIT_SUCCESS;
  }
  std::ofstream out(csv);
  WriteCsv(compared, out);
  if (!out) {
    std::cerr << csv << ": can't be written\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

int PlayFile(const std::string& path, const std::string& csv) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto scenario = ReadLoadScenario(text);
  if (!file || !scenario) {
    std::cerr << path << ": " << (scenario ? "can't be read" : scenario.error())
              << "\n";
    return EXIT_FAILURE;
  }
  return PlayOne(*scenario, csv);
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "sassafrasdyke-load",
      "Plays a load before front's policies and two plain ones, without "
      "sockets.");
  options.add_options()                                                //
      ("scenario", "a JSON file", cxxopts::value<std::string>())       //
      ("csv", "where to write what callers got by second and domain",  //
       cxxopts::value<std::string>()->default_value(""))               //
      ("drawn",
       "how many deployments to draw in place of a scenario; with 1 there is "
       "a CSV",                                                      //
       cxxopts::value<std::size_t>()->default_value("0"))            //
      ("trouble", "in place of the drawn ones: evacuate, cut, ...",  //
       cxxopts::value<std::string>()->default_value(""))             //
      ("seed", "of the first drawn deployment",                      //
       cxxopts::value<std::uint64_t>()->default_value("1"))          //
      ("help", "this text");
  try {
    const auto given = options.parse(argc, argv);
    if (const auto drawn = given["drawn"].as<std::size_t>(); drawn > 0) {
      const auto seed = given["seed"].as<std::uint64_t>();
      const auto word = given["trouble"].as<std::string>();
      const auto trouble = TroubleOf(word);
      if (!trouble && !word.empty()) {
        std::cerr << "no such trouble: " << word << "\n";
        return EXIT_FAILURE;
      }
      return drawn == 1 ? PlayOne(DrawWith(seed, trouble),
                                  given["csv"].as<std::string>())
                        : PlayDrawn(seed, drawn, trouble);
    }
    if (given.count("scenario") > 0 && given.count("help") == 0) {
      return PlayFile(given["scenario"].as<std::string>(),
                      given["csv"].as<std::string>());
    }
    std::cout << options.help();
    return given.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return EXIT_FAILURE;
  }
}

}  // namespace
}  // namespace sassafrasdyke::rig

int main(int argc, char** argv) { return sassafrasdyke::rig::Main(argc, argv); }
