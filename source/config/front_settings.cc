#include "config/front_settings.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasdyke::config {
namespace {

constexpr std::uint64_t kNameLimit = 255;
/// Addresses listed at most; the platform names three.
constexpr std::size_t kMostSeeds = 64;
constexpr std::size_t kMostDomains = 1024;

/// A list of addresses.
struct EndpointList {
  bool Read(const Json& json, std::vector<common::Endpoint>& value) const {
    if (!json.is_array() || json.size() > kMostSeeds) {
      return false;
    }
    std::vector<common::Endpoint> read(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) {
      if (!EndpointText{}.Read(json[i], read[i])) {
        return false;
      }
    }
    value = std::move(read);
    return true;
  }
  FormatReference Describe() const {
    return {"list of addresses and ports", "up to 64", ""};
  }
  Json Write(const std::vector<common::Endpoint>& value) const {
    Json list = Json::array();
    for (const common::Endpoint& endpoint : value) {
      list.push_back(endpoint.ToString());
    }
    return list;
  }
};

/// The regions of failure domains, by domain.
struct RegionNames {
  using Regions = core::RegionMap::RegionByDomain;

  bool Read(const Json& json, Regions& value) const {
    if (!json.is_object() || json.size() > kMostDomains) {
      return false;
    }
    Regions read;
    for (const auto& [domain, region] : json.items()) {
      if (!Text{1, kNameLimit}.Read(region, read[domain])) {
        return false;
      }
    }
    value = std::move(read);
    return true;
  }
  FormatReference Describe() const {
    return {"object of texts", "up to 1024 failure domains", ""};
  }
  Json Write(const Regions& value) const { return Json(value); }
};

/// A time up to a day, with a fraction if need be: the platform may fill in any
/// number, and an instance that doesn't start for one serves nobody.
struct PublishedTime {
  std::chrono::duration<double, std::milli> unit;

  bool Read(const Json& json, std::chrono::milliseconds& value) const {
    if (!json.is_number()) {
      return false;
    }
    const auto read = json.get<double>() * this->unit;
    if (!(read.count() >= 0.0 && read <= std::chrono::hours{24})) {
      return false;
    }
    value = std::chrono::duration_cast<std::chrono::milliseconds>(read);
    return true;
  }
  FormatReference Describe() const {
    const bool seconds = this->unit == std::chrono::seconds{1};
    return {"number", seconds ? "0 to 86400" : "0 to 86400000",
            seconds ? "s" : "ms"};
  }
  Json Write(std::chrono::milliseconds value) const {
    return value / this->unit;
  }
};

/// A number from `least` to `most`; `range` says so in words.
struct NumberInRange {
  double least{0};
  double most{1e6};
  std::string_view range{"0 to 1000000"};

  bool Read(const Json& json, double& value) const {
    if (!json.is_number()) {
      return false;
    }
    const auto read = json.get<double>();
    if (!(read >= this->least && read <= this->most)) {
      return false;
    }
    value = read;
    return true;
  }
  FormatReference Describe() const {
    return {"number", std::string(this->range), ""};
  }
  static Json Write(double value) { return value; }
};

/// One of the words for a `LocalityMode`.
struct LocalityWord {
  static constexpr std::array<std::pair<std::string_view, LocalityMode>, 3>
      kModes{{{"local", LocalityMode::kLocal},
              {"proportional", LocalityMode::kProportional},
              {"headroom", LocalityMode::kHeadroom}}};

  static bool Read(const Json& json, LocalityMode& value) {
    const auto* const found =
        std::ranges::find_if(kModes, [&json](const auto& mode) {
          return json.is_string() && json.get<std::string>() == mode.first;
        });
    if (found == kModes.end()) {
      return false;
    }
    value = found->second;
    return true;
  }
  static FormatReference Describe() {
    return {"text", "`local`, `proportional` or `headroom`", ""};
  }
  static Json Write(LocalityMode value) {
    return std::string(std::ranges::find(kModes, value, [](const auto& mode) {
                         return mode.second;
                       })->first);
  }
};

constexpr PublishedTime kSeconds{std::chrono::seconds{1}};
constexpr PublishedTime kMilliseconds{std::chrono::milliseconds{1}};

const KeyTable<FrontListenSettings>& ListenKeys() {
  static const KeyTable<FrontListenSettings> table =
      KeyTable<FrontListenSettings>()
          .Add("packets", &FrontListenSettings::packets, EndpointText{},
               KeyUse::kRequired, "UDP address for clients' packets.")
          .Add("readiness", &FrontListenSettings::readiness, EndpointText{},
               KeyUse::kRequired, "TCP address for the routers' checks.")
          .Add("peers", &FrontListenSettings::peers, EndpointText{},
               KeyUse::kRequired,
               "UDP and TCP address for other instances; the port is the same "
               "on all of them.")
          .Add("metrics", &FrontListenSettings::metrics, EndpointText{},
               KeyUse::kRequired, "TCP address for metrics.");
  return table;
}

const KeyTable<FrontTimeSettings>& TimeKeys() {
  static const KeyTable<FrontTimeSettings> table =
      KeyTable<FrontTimeSettings>()
          .Add("grace_s", &FrontTimeSettings::grace, kSeconds,
               KeyUse::kOptional,
               "From the order to stop until the process is killed.")
          .Add("flow_life_s", &FrontTimeSettings::flow_life, kSeconds,
               KeyUse::kOptional, "The longest that a flow stays open.")
          .Add("apply_ms", &FrontTimeSettings::apply, kMilliseconds,
               KeyUse::kOptional,
               "Within this a change of the configuration must be in force.")
          .Add("drain_ms", &FrontTimeSettings::drain, kMilliseconds,
               KeyUse::kOptional,
               "Within this a target that leaves must get no new flows.")
          .Add("evacuate_ms", &FrontTimeSettings::evacuate, kMilliseconds,
               KeyUse::kOptional,
               "Within this an evacuated failure domain must get no new "
               "flows.");
  return table;
}

const KeyTable<FrontLoadSettings>& LoadKeys() {
  static const KeyTable<FrontLoadSettings> table =
      KeyTable<FrontLoadSettings>()
          .Add("share_load", &FrontLoadSettings::share_load, Flag{},
               KeyUse::kOptional,
               "Whether instances measure load and report it to each other.")
          .Add("locality", &FrontLoadSettings::locality, LocalityWord{},
               KeyUse::kOptional,
               "How new flows leave a failure domain with more load than its "
               "share; needs `share_load`.")
          .Add("leave_at", &FrontLoadSettings::leave_at,
               NumberInRange{0.1, 10.0, "0.1 to 10"}, KeyUse::kOptional,
               "Fraction of the domain's slots in use from which they leave.")
          .Add("eject_targets", &FrontLoadSettings::eject_targets, Flag{},
               KeyUse::kOptional,
               "Whether slow and failing targets get fewer new flows.")
          .Add("max_ejected", &FrontLoadSettings::max_ejected,
               NumberInRange{0.0, 1.0, "0 to 1"}, KeyUse::kOptional,
               "Largest fraction of a service's targets in a domain that is "
               "ejected.")
          .Add("fair_admission", &FrontLoadSettings::fair_admission, Flag{},
               KeyUse::kOptional,
               "Whether limits begin with the instance's share, callers take "
               "turns, and SYNs that can't be served are refused.");
  return table;
}

KeyTable<FrontSettings> MakeKeys() {
  KeyTable<FrontSettings> table;
  table
      .Add("instance", &FrontSettings::instance, Text{1, kNameLimit},
           KeyUse::kRequired, "This instance's name, for logs.")
      .Add("domain", &FrontSettings::domain, Text{1, kNameLimit},
           KeyUse::kRequired, "Its failure domain.")
      .Add("region", &FrontSettings::region, Text{0, kNameLimit},
           KeyUse::kOptional, "The region of that domain.")
      .Add("regions", &FrontSettings::regions, RegionNames{}, KeyUse::kOptional,
           "The regions of all failure domains.")
      .AddSection("listen", &FrontSettings::listen, ListenKeys(),
                  KeyUse::kRequired, "Where this instance is reached.")
      .Add("store", &FrontSettings::store, EndpointText{}, KeyUse::kRequired,
           "TCP address of the platform's store.")
      .Add("seeds", &FrontSettings::seeds, EndpointList{}, KeyUse::kOptional,
           "Instances to ask first for others.")
      .AddSection("times", &FrontSettings::times, TimeKeys(), KeyUse::kOptional,
                  "Times that the platform promises.")
      .Add("warmup_excess", &FrontSettings::warmup_excess, NumberInRange{},
           KeyUse::kOptional,
           "A target that is warming up may get this multiple of its "
           "published rate of new flows,")
      .Add("warmup_slack", &FrontSettings::warmup_slack, NumberInRange{},
           KeyUse::kOptional, "and this many more, in any second.")
      .AddSection("load", &FrontSettings::load, LoadKeys(), KeyUse::kOptional,
                  "Decisions by load and health that instances report to each "
                  "other.");
  return table;
}

const KeyTable<FrontSettings>& Keys() {
  static const KeyTable<FrontSettings> table = MakeKeys();
  return table;
}

/// Load that isn't shared can't decide about a flow's domain.
void CheckLoad(const FrontLoadSettings& load, core::DocumentFaults& faults) {
  if (load.locality != LocalityMode::kLocal && !load.share_load) {
    faults.push_back({"/load/locality", "needs share_load to be true"});
  }
}

}  // namespace

tl::expected<FrontSettings, core::DocumentFaults> ReadFrontSettings(
    std::string_view json) {
  const auto parsed = ParseJson(json, "");
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  FrontSettings settings;
  core::DocumentFaults faults;
  Keys().Read(*parsed, "", settings, faults);
  CheckLoad(settings.load, faults);
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return settings;
}

std::vector<KeyReference> FrontSettingsReference() {
  std::vector<KeyReference> references;
  Keys().Describe("", references);
  return references;
}

}  // namespace sassafrasdyke::config
