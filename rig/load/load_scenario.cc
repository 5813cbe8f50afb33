#include "rig/load/load_scenario.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <span>
#include <stdexcept>
#include <utility>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::rig {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Requests a second that a play is drawn with at most, so that two hundred
/// plays take minutes.
constexpr double kMostRequestsPerSecond = 600;

constexpr std::array<std::pair<LoadTrouble, std::string_view>, 14> kTroubles{{
    {LoadTrouble::kNone, "none"},
    {LoadTrouble::kOutage, "outage"},
    {LoadTrouble::kJoin, "join"},
    {LoadTrouble::kLeave, "leave"},
    {LoadTrouble::kSlow, "slow"},
    {LoadTrouble::kDie, "die"},
    {LoadTrouble::kEvacuate, "evacuate"},
    {LoadTrouble::kCut, "cut"},
    {LoadTrouble::kUneven, "uneven"},
    {LoadTrouble::kMove, "move"},
    {LoadTrouble::kHeavy, "heavy"},
    {LoadTrouble::kHang, "hang"},
    {LoadTrouble::kReject, "reject"},
    {LoadTrouble::kReset, "reset"},
}};
/// DrawLoadScenario draws only the first ones, so that a seed's deployment
/// stays the same when others are added.
constexpr std::size_t kDrawnTroubles = 6;
/// DrawHardLoadScenario draws one of the first of these and others of all.
constexpr LoadTrouble kUnevenTroubles[] = {
    LoadTrouble::kUneven, LoadTrouble::kMove, LoadTrouble::kHeavy};
constexpr LoadTrouble kHardTroubles[] = {
    LoadTrouble::kSlow,   LoadTrouble::kDie,   LoadTrouble::kHang,
    LoadTrouble::kReject, LoadTrouble::kReset, LoadTrouble::kLeave,
    LoadTrouble::kCut,    LoadTrouble::kUneven};

milliseconds Ms(const Json& json, const char* name, milliseconds otherwise) {
  return milliseconds(json.value(name, otherwise.count()));
}

LoadEvent ReadEvent(const Json& json) {
  LoadEvent event;
  const std::string given = json.value("trouble", std::string("none"));
  const auto trouble = TroubleOf(given);
  if (!trouble) {
    throw std::invalid_argument("event.trouble: no such trouble: " + given);
  }
  event.trouble = *trouble;
  event.at = Ms(json, "at_ms", event.at);
  event.lasts = Ms(json, "lasts_ms", event.lasts);
  event.share = json.value("share", event.share);
  event.factor = json.value("factor", event.factor);
  event.warmup_rate = json.value("warmup_rate", event.warmup_rate);
  event.domain = json.value("domain", event.domain);
  event.part = json.value("part", event.part);
  return event;
}

/// One `event` or several `events`.
std::vector<LoadEvent> ReadEvents(const Json& json) {
  std::vector<LoadEvent> events;
  if (json.contains("event")) {
    events.push_back(ReadEvent(json.at("event")));
  }
  for (const Json& event : json.value("events", Json::array())) {
    events.push_back(ReadEvent(event));
  }
  return events;
}

void CheckDomains(const LoadScenario& scenario) {
  for (const LoadEvent& event : scenario.events) {
    // A scenario without domains is empty, and its event concerns none.
    if (event.domain >= std::max<std::size_t>(scenario.domains.size(), 1)) {
      throw std::invalid_argument("event.domain: no such domain");
    }
  }
}

LoadService ReadService(const Json& json) {
  LoadService service;
  service.slots = json.value("slots", service.slots);
  service.queue = json.value("queue", service.queue);
  service.work_ms = json.value("work_ms", service.work_ms);
  service.work_spread = json.value("work_spread", service.work_spread);
  service.objective = Ms(json, "objective_ms", service.objective);
  service.deadline = Ms(json, "deadline_ms", service.deadline);
  return service;
}

/// Draws numbers of a scenario.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random(seed) {}

  double Between(double low, double high) {
    constexpr std::uint64_t kSteps = 1'000'000;
    const auto part = static_cast<double>(this->random.Below(kSteps));
    return low + (high - low) * part / kSteps;
  }
  std::size_t Count(std::size_t low, std::size_t high) {
    return low + this->random.Below(high - low + 1);
  }
  LoadTrouble OneOf(std::span<const LoadTrouble> troubles) {
    return troubles[this->random.Below(troubles.size())];
  }

 private:
  core::Jitter random;
};

}  // namespace

std::optional<LoadTrouble> TroubleOf(std::string_view word) {
  const auto* const found = std::ranges::find(
      kTroubles, word, [](const auto& trouble) { return trouble.second; });
  return found == kTroubles.end() ? std::nullopt
                                  : std::make_optional(found->first);
}

std::string_view Word(LoadTrouble trouble) {
  for (const auto& [known, word] : kTroubles) {
    if (known == trouble) {
      return word;
    }
  }
  return "unknown";
}

tl::expected<LoadScenario, std::string> ReadLoadScenario(
    const std::string& text) {
  // The library reports wrong types by exceptions; they end here.
  try {
    const Json json = Json::parse(text, nullptr, true, true);
    LoadScenario scenario;
    scenario.name = json.value("name", std::string("scenario"));
    scenario.seed = json.value("seed", scenario.seed);
    scenario.length = Ms(json, "length_ms", scenario.length);
    scenario.client_delay = Ms(json, "client_delay_ms", scenario.client_delay);
    scenario.domain_delay = Ms(json, "domain_delay_ms", scenario.domain_delay);
    for (const Json& domain : json.at("domains")) {
      scenario.domains.push_back({domain.at("instances").get<std::size_t>(),
                                  domain.at("targets").get<std::size_t>(),
                                  domain.at("requests_per_s").get<double>()});
    }
    scenario.service = ReadService(json.at("service"));
    scenario.events = ReadEvents(json);
    scenario.callers = json.value("callers", scenario.callers);
    scenario.probes = json.value("probes", scenario.probes);
    scenario.long_flows = json.value("long_flows", scenario.long_flows);
    CheckDomains(scenario);
    return scenario;
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

LoadScenario DrawLoadScenario(std::uint64_t seed) {
  Draw draw(seed);
  LoadScenario scenario;
  scenario.name = "drawn-" + std::to_string(seed);
  scenario.seed = seed;
  scenario.client_delay = milliseconds(draw.Count(1, 15));
  scenario.domain_delay = milliseconds(draw.Count(1, 8));
  LoadService& service = scenario.service;
  service.slots = static_cast<std::uint32_t>(draw.Count(1, 16));
  service.queue = draw.Count(4, 40);
  service.work_spread = draw.Between(0.2, 1.0);
  service.objective = milliseconds(draw.Count(50, 2000));
  service.deadline = service.objective * static_cast<int>(draw.Count(4, 16));
  const double round_trips =
      6.0 * static_cast<double>(scenario.client_delay.count());
  service.work_ms = std::max(
      2.0, (static_cast<double>(service.objective.count()) - round_trips) /
               draw.Between(2.5, 10));
  const std::size_t domains = draw.Count(1, 5);
  std::size_t targets = 0;
  for (std::size_t i = 0; i < domains; ++i) {
    scenario.domains.push_back({draw.Count(1, 6), draw.Count(1, 40), 0});
    targets += scenario.domains.back().targets;
  }
  const double capacity =
      static_cast<double>(targets * service.slots) * 1000 / service.work_ms;
  const double all =
      std::min(kMostRequestsPerSecond, capacity * draw.Between(0.2, 1.5));
  for (LoadDomain& domain : scenario.domains) {
    domain.requests_per_s = all / static_cast<double>(domains);
  }
  LoadEvent& event = scenario.events.emplace_back();
  event.trouble = kTroubles.at(draw.Count(0, kDrawnTroubles - 1)).first;
  event.at = milliseconds(2000);
  event.lasts = milliseconds(draw.Count(500, 2500));
  event.share = draw.Between(0.1, 0.5);
  event.factor = draw.Between(2, 8);
  return scenario;
}

LoadScenario DrawHardLoadScenario(std::uint64_t seed) {
  Draw draw(seed);
  LoadScenario scenario;
  scenario.name = "hard-" + std::to_string(seed);
  scenario.seed = seed;
  scenario.client_delay = milliseconds(1);
  scenario.domain_delay = milliseconds(draw.Count(1, 5));
  LoadService& service = scenario.service;
  service.slots = static_cast<std::uint32_t>(draw.Count(1, 4));
  service.work_ms = draw.Between(10, 40);
  service.work_spread = draw.Between(0.2, 0.8);
  service.objective = milliseconds(draw.Count(250, 800));
  service.deadline = service.objective * static_cast<int>(draw.Count(5, 8));
  const std::size_t domains = draw.Count(2, 4);
  std::size_t targets = 0;
  for (std::size_t i = 0; i < domains; ++i) {
    scenario.domains.push_back({draw.Count(2, 8), draw.Count(4, 12), 0});
    targets += scenario.domains.back().targets;
  }
  const double capacity =
      static_cast<double>(targets * service.slots) * 1000 / service.work_ms;
  const double all =
      std::min(kMostRequestsPerSecond, capacity * draw.Between(0.1, 0.5));
  for (LoadDomain& domain : scenario.domains) {
    domain.requests_per_s = all / static_cast<double>(domains);
  }
  scenario.probes = true;
  scenario.callers = static_cast<std::uint32_t>(draw.Count(40, 400));
  scenario.long_flows =
      static_cast<double>(draw.Count(0, 1)) * draw.Between(0.2, 0.9);
  for (std::size_t i = draw.Count(2, 3); i > 0; --i) {
    LoadEvent event;
    event.trouble = scenario.events.empty() ? draw.OneOf(kUnevenTroubles)
                                            : draw.OneOf(kHardTroubles);
    event.at = milliseconds(draw.Count(1500, 4000));
    event.lasts = milliseconds(draw.Count(1000, 4000));
    event.share = draw.Between(0.1, 0.4);
    event.factor = draw.Between(2, 8);
    event.domain = draw.Count(0, domains - 1);
    event.part = draw.Between(0.2, 1);
    scenario.events.push_back(event);
  }
  return scenario;
}

bool LoadScenario::Has(LoadTrouble trouble) const {
  return std::ranges::find(this->events, trouble, &LoadEvent::trouble) !=
         this->events.end();
}

bool LoadScenario::IsCut(std::size_t one, std::size_t other,
                         std::chrono::microseconds at) const {
  return std::ranges::any_of(this->events, [&](const LoadEvent& event) {
    return event.trouble == LoadTrouble::kCut &&
           (one == event.domain) != (other == event.domain) && at >= event.at &&
           at < event.at + event.lasts;
  });
}

std::string Describe(const LoadScenario& scenario) {
  std::size_t targets = 0;
  std::size_t instances = 0;
  double rate = 0;
  for (const LoadDomain& domain : scenario.domains) {
    targets += domain.targets;
    instances += domain.instances;
    rate += domain.requests_per_s;
  }
  const LoadService& service = scenario.service;
  const double load = rate * service.work_ms /
                      (1000.0 * static_cast<double>(targets) * service.slots);
  std::string troubles;
  for (const LoadEvent& event : scenario.events) {
    troubles +=
        (troubles.empty() ? "" : "+") + std::string(Word(event.trouble));
  }
  char line[256];
  std::snprintf(line, sizeof(line),
                "%zu domains, %zu instances, %zu targets of %u slots, work "
                "%.0f ms (%.1f), objective %lld ms, load %.2f, %s",
                scenario.domains.size(), instances, targets, service.slots,
                service.work_ms, service.work_spread,
                static_cast<long long>(service.objective.count()), load,
                troubles.empty() ? "none" : troubles.c_str());
  return line;
}

}  // namespace sassafrasdyke::rig
