/// Plays load scenarios, or drawn deployments, with policies side by side.
#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rig/load/load_comparison.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {
namespace {

void PrintLine(const LoadComparison& compared) {
  std::cout << std::fixed << std::setprecision(4) << compared.scenario.name;
  for (const auto& [variant, outcome] : compared.outcomes) {
    std::cout << "  " << Word(variant) << " " << WorthOf(outcome.Sum());
    if (compared.scenario.Has(LoadTrouble::kHeavy)) {
      std::cout << " (others " << WorthOf(outcome.Others()) << ")";
    }
  }
  if (compared.outcomes.contains(PolicyVariant::kThisVersion)) {
    std::cout << "  ratio " << compared.Ratio();
  }
  std::cout << "  " << Describe(compared.scenario) << "\n";
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

/// What the command line asks for.
struct Request {
  std::size_t drawn{0};
  std::uint64_t first_seed{1};
  bool hard{false};
  std::optional<LoadTrouble> trouble;  ///< In place of the drawn ones.
  std::vector<PolicyVariant> variants;
  std::string csv;
};

LoadScenario DrawWith(std::uint64_t seed, const Request& request) {
  LoadScenario scenario =
      request.hard ? DrawHardLoadScenario(seed) : DrawLoadScenario(seed);
  if (request.trouble) {
    scenario.events.resize(1);
    scenario.events.front().trouble = *request.trouble;
  }
  return scenario;
}

int PlayDrawn(const Request& request) {
  constexpr std::size_t kShown = 10;
  std::vector<LoadComparison> all;
  for (std::size_t i = 0; i < request.drawn; ++i) {
    all.push_back(
        Compare(DrawWith(request.first_seed + i, request), request.variants));
  }
  std::ranges::sort(all, {}, &LoadComparison::Ratio);
  double sum = 0;
  std::size_t below = 0;
  std::map<PolicyVariant, double> worths;
  for (const LoadComparison& compared : all) {
    sum += compared.Ratio();
    below += compared.Ratio() < kLeastRatio ? 1 : 0;
    for (const PolicyVariant variant : request.variants) {
      worths[variant] += compared.Worth(variant);
    }
  }
  const auto count = static_cast<double>(request.drawn);
  std::cout << request.drawn << " drawn deployments, mean ratio " << std::fixed
            << std::setprecision(4) << sum / count << ", " << below << " below "
            << std::setprecision(2) << kLeastRatio << "; mean worth"
            << std::setprecision(4);
  for (const auto& [variant, worth] : worths) {
    std::cout << "  " << Word(variant) << " " << worth / count;
  }
  std::cout << "; the lowest:\n";
  for (std::size_t i = 0; i < std::min(kShown, all.size()); ++i) {
    PrintLine(all[i]);
  }
  return EXIT_SUCCESS;
}

int PlayOne(const LoadScenario& scenario, const Request& request) {
  const LoadComparison compared = Compare(scenario, request.variants);
  PrintLine(compared);
  if (request.csv.empty()) {
    return EXIT_SUCCESS;
  }
  std::ofstream out(request.csv);
  WriteCsv(compared, out);
  if (!out) {
    std::cerr << request.csv << ": can't be written\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

int PlayFile(const std::string& path, const Request& request) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto scenario = ReadLoadScenario(text);
  if (!file || !scenario) {
    std::cerr << path << ": " << (scenario ? "can't be read" : scenario.error())
              << "\n";
    return EXIT_FAILURE;
  }
  return PlayOne(*scenario, request);
}

/// Nothing, with a message, if a word is unknown.
std::optional<Request> ReadRequest(const cxxopts::ParseResult& given) {
  Request request;
  request.drawn = given["drawn"].as<std::size_t>();
  request.first_seed = given["seed"].as<std::uint64_t>();
  request.hard = given["hard"].as<bool>();
  request.csv = given["csv"].as<std::string>();
  const auto word = given["trouble"].as<std::string>();
  request.trouble = TroubleOf(word);
  if (!request.trouble && !word.empty()) {
    std::cerr << "no such trouble: " << word << "\n";
    return std::nullopt;
  }
  for (const auto& name : given["variants"].as<std::vector<std::string>>()) {
    const auto variant = VariantOf(name);
    if (!variant) {
      std::cerr << "no such variant: " << name << ", but " << VariantNames()
                << "\n";
      return std::nullopt;
    }
    request.variants.push_back(*variant);
  }
  return request;
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
       "a CSV",                                            //
       cxxopts::value<std::size_t>()->default_value("0"))  //
      ("hard",
       "draw deployments with uneven demand, failing targets and long flows",
       cxxopts::value<bool>()->default_value("false"))               //
      ("trouble", "in place of the drawn ones: evacuate, cut, ...",  //
       cxxopts::value<std::string>()->default_value(""))             //
      ("variants", "policies to play, of " + VariantNames(),         //
       cxxopts::value<std::vector<std::string>>()->default_value(
           "this-version,no-admission,hash"))                //
      ("seed", "of the first drawn deployment",              //
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("help", "this text");
  try {
    const auto given = options.parse(argc, argv);
    const auto request = ReadRequest(given);
    if (!request) {
      return EXIT_FAILURE;
    }
    if (request->drawn > 1) {
      return PlayDrawn(*request);
    }
    if (request->drawn == 1) {
      return PlayOne(DrawWith(request->first_seed, *request), *request);
    }
    if (given.count("scenario") > 0 && given.count("help") == 0) {
      return PlayFile(given["scenario"].as<std::string>(), *request);
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
