#include "rig/scenario.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace sassafrasdyke::rig {
namespace {

using Json = nlohmann::ordered_json;

struct StepWord {
  std::string_view word;
  StepKind kind;
};

constexpr std::array kStepWords = {
    StepWord{"drain", StepKind::kDrain},
    StepWord{"undrain", StepKind::kUndrain},
    StepWord{"add-target", StepKind::kAddTarget},
    StepWord{"remove-target", StepKind::kRemoveTarget},
    StepWord{"fail-target", StepKind::kFailTarget},
    StepWord{"restart-target", StepKind::kRestartTarget},
    StepWord{"silence-target", StepKind::kSilenceTarget},
    StepWord{"lie", StepKind::kLie},
    StepWord{"set", StepKind::kSet},
    StepWord{"replace", StepKind::kReplace},
    StepWord{"start", StepKind::kStart},
    StepWord{"term", StepKind::kTerm},
    StepWord{"kill", StepKind::kKill},
    StepWord{"freeze", StepKind::kFreeze},
    StepWord{"thaw", StepKind::kThaw},
    StepWord{"platform-up", StepKind::kPlatformUp},
    StepWord{"platform-down", StepKind::kPlatformDown},
    StepWord{"platform-slow", StepKind::kPlatformSlow},
    StepWord{"platform-stale", StepKind::kPlatformStale},
    StepWord{"platform-older", StepKind::kPlatformOlder},
    StepWord{"cut", StepKind::kCut},
    StepWord{"heal", StepKind::kHeal},
};

/// Reads the keys of one object and reports those nobody asked for.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string where, ScenarioFaults& faults)
      : object(object), where(std::move(where)), faults(faults) {}

  template <typename Value>
  ObjectReader& Read(const char* key, Value& out) {
    this->known.insert(key);
    if (!this->object.is_object() || !this->object.contains(key)) {
      return *this;
    }
    try {
      this->object.at(key).get_to(out);
    } catch (const nlohmann::json::exception& error) {
      this->Fault(key, error.what());
    }
    return *this;
  }

  /// A whole number of the unit that the key's name ends in.
  template <typename Rep, typename Period>
  ObjectReader& Read(const char* key, std::chrono::duration<Rep, Period>& out) {
    std::int64_t count = out.count();
    this->Read(key, count);
    out = std::chrono::duration<Rep, Period>{count};
    return *this;
  }

  ObjectReader& Read(const char* key, common::Endpoint& out) {
    std::string text;
    this->Read(key, text);
    if (const auto endpoint = common::Endpoint::Parse(text)) {
      out = *endpoint;
    } else {
      this->Fault(key, "isn't an address and port");
    }
    return *this;
  }

  ObjectReader& Read(const char* key, StepKind& out) {
    std::string text;
    this->Read(key, text);
    const auto* const found = std::find_if(
        kStepWords.begin(), kStepWords.end(),
        [&text](const StepWord& word) { return word.word == text; });
    if (found == kStepWords.end()) {
      this->Fault(key, "isn't a step: " + text);
    } else {
      out = found->kind;
    }
    return *this;
  }

  /// Reads each element of the array at `key` with `read`.
  template <typename Element, typename Reading>
  ObjectReader& ReadEach(const char* key, std::vector<Element>& out,
                         const Reading& read) {
    Json list = Json::array();
    this->Read(key, list);
    for (std::size_t i = 0; i < list.size(); ++i) {
      ObjectReader element(list[i],
                           this->where + "/" + key + "/" + std::to_string(i),
                           this->faults);
      read(element, out.emplace_back());
      element.Finish();
    }
    return *this;
  }

  /// Reads the object at `key` with `read`.
  template <typename Reading>
  ObjectReader& ReadObject(const char* key, const Reading& read) {
    Json object = Json::object();
    this->Read(key, object);
    ObjectReader inner(object, this->where + "/" + key, this->faults);
    read(inner);
    inner.Finish();
    return *this;
  }

  void Finish() {
    if (!this->object.is_object()) {
      this->faults.push_back(this->where + ": isn't an object");
      return;
    }
    for (const auto& [key, value] : this->object.items()) {
      if (!this->known.contains(key)) {
        this->Fault(key, "is an unknown key");
      }
    }
  }

  void Fault(const std::string& key, const std::string& what) {
    this->faults.push_back(this->where + "/" + key + ": " + what);
  }

 private:
  const Json& object;
  std::string where;
  ScenarioFaults& faults;
  std::set<std::string> known;
};

void ReadDomain(ObjectReader& reader, ScenarioDomain& out) {
  reader.Read("name", out.name)
      .Read("region", out.region)
      .Read("instances", out.instances);
}

void ReadService(ObjectReader& reader, ScenarioService& out) {
  reader.Read("name", out.name)
      .Read("address", out.address)
      .Read("targets", out.targets)
      .Read("flows_per_second", out.flows_per_second)
      .Read("long_flows", out.long_flows)
      .Read("service_ms", out.service_time)
      .Read("answer_parts", out.answer_parts)
      .Read("slots", out.slots)
      .Read("connections", out.connections)
      .Read("shed_at", out.shed_at)
      .Read("cold_factor", out.cold_factor)
      .Read("cold_ms", out.cold_time);
}

void ReadNetwork(ObjectReader& reader, ScenarioNetwork& out) {
  reader.Read("caller_delay_us", out.caller_delay)
      .Read("domain_delay_us", out.domain_delay)
      .Read("jitter_percent", out.jitter_percent)
      .Read("loss_per_million", out.loss_per_million)
      .Read("domain_loss_per_million", out.domain_loss_per_million)
      .Read("list_lag_ms", out.list_lag)
      .Read("fabric_lag_ms", out.fabric_lag)
      .Read("relay", out.relay);
}

void ReadCallers(ObjectReader& reader, ScenarioCallers& out) {
  reader.Read("pause_ms", out.pause)
      .Read("idempotent_percent", out.idempotent_percent)
      .Read("fast_open_percent", out.fast_open_percent);
}

void ReadStep(ObjectReader& reader, ScenarioStep& out) {
  reader.Read("at_ms", out.at)
      .Read("do", out.kind)
      .Read("subject", out.subject)
      .Read("path", out.path)
      .Read("value", out.value);
}

void CheckCounts(const Scenario& scenario, ScenarioFaults& faults) {
  constexpr std::uint32_t kMostOfAKind = 200;
  constexpr std::uint32_t kMostNet = 250;
  std::uint32_t instances = 0;
  std::uint32_t targets = 0;
  for (const auto& domain : scenario.domains) {
    instances += domain.instances;
  }
  for (const auto& service : scenario.services) {
    targets += service.targets;
  }
  if (scenario.domains.empty() || scenario.services.empty()) {
    faults.emplace_back("/: needs domains and services");
  }
  // Each has its own last byte of an address.
  if (instances > kMostOfAKind || targets > kMostOfAKind) {
    faults.emplace_back("/: at most 200 instances and 200 targets");
  }
  if (scenario.net == 0 || scenario.net > kMostNet) {
    faults.emplace_back("/net: must be from 1 to 250");
  }
}

/// Turns "service-1/3", "service-1" and "domain-2" into the deployment's names.
std::string Resolve(const Scenario& scenario, const std::string& subject) {
  std::size_t first = 0;
  std::uint32_t second = 0;
  const int found =
      std::sscanf(subject.c_str(), "service-%zu/%u", &first, &second);
  if (found >= 1 && first >= 1 && first <= scenario.services.size()) {
    const std::string& service = scenario.services[first - 1].name;
    return found == 2 ? TargetName(service, second) : service;
  }
  if (std::sscanf(subject.c_str(), "domain-%zu", &first) == 1 && first >= 1 &&
      first <= scenario.domains.size()) {
    return scenario.domains[first - 1].name;
  }
  return subject;
}

tl::expected<Json, ScenarioFaults> ParseFile(
    const std::filesystem::path& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  Json json = Json::parse(text.str(), nullptr, false, true);
  if (!json.is_object()) {
    return tl::unexpected(
        ScenarioFaults{file.string() + ": isn't a file with a JSON object"});
  }
  return json;
}

tl::expected<Scenario, ScenarioFaults> FromJson(const Json& json) {
  ScenarioFaults faults;
  Scenario scenario;
  ObjectReader reader(json, "", faults);
  reader.Read("name", scenario.name)
      .Read("fleet", scenario.fleet)
      .Read("net", scenario.net)
      .Read("seconds", scenario.length)
      .ReadEach("domains", scenario.domains, ReadDomain)
      .ReadEach("services", scenario.services, ReadService)
      .ReadObject("network",
                  [&](ObjectReader& in) { ReadNetwork(in, scenario.network); })
      .ReadObject("callers",
                  [&](ObjectReader& in) { ReadCallers(in, scenario.callers); })
      .Read("configuration", scenario.configuration)
      .ReadEach("timeline", scenario.timeline, ReadStep)
      .Finish();
  CheckCounts(scenario, faults);
  if (!faults.empty()) {
    return tl::unexpected(faults);
  }
  for (ScenarioStep& step : scenario.timeline) {
    step.subject = Resolve(scenario, step.subject);
  }
  return scenario;
}

}  // namespace

std::string TargetName(const std::string& service, std::uint32_t number) {
  constexpr std::uint32_t kTwoDigits = 10;
  return service + (number < kTwoDigits ? "-0" : "-") + std::to_string(number);
}

tl::expected<Scenario, ScenarioFaults> ReadScenario(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false, true);
  if (json.is_discarded()) {
    return tl::unexpected(ScenarioFaults{"/: isn't JSON"});
  }
  return FromJson(json);
}

tl::expected<Scenario, ScenarioFaults> LoadScenario(
    const std::filesystem::path& file,
    const std::filesystem::path& deployment) {
  auto json = ParseFile(file);
  if (!json) {
    return tl::unexpected(json.error());
  }
  std::filesystem::path under = deployment;
  if (const auto named = json->find("deployment"); named != json->end()) {
    if (under.empty() && named->is_string()) {
      under = file.parent_path() / named->get<std::string>();
    }
    json->erase(named);
  }
  if (under.empty()) {
    return FromJson(*json);
  }
  auto whole = ParseFile(under);
  if (!whole) {
    return tl::unexpected(whole.error());
  }
  whole->merge_patch(*json);
  return FromJson(*whole);
}

}  // namespace sassafrasdyke::rig
