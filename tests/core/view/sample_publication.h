/// A Publication with a simple text format, so that tests of the core don't
/// depend on a platform's adapter. A configuration is
/// "VERSION ADDRESS=SERVICE[,SERVICE][@REGION][#RANK]...
/// [warmup:SERVICE=RATE]...", a target is "SERVICE DOMAIN ADDRESS [draining]
/// [cold=MS] [start=MS] [seq=N]", and an evacuation is
/// "{}" under the key "evacuation/DOMAIN". Other texts can't be decoded.
#pragma once

#include <optional>
#include <sstream>
#include <string>

#include "core/view/live_view.h"
#include "core/view/publication.h"

namespace sassafrasdyke::core {

class SamplePublication : public Publication {
 public:
  std::string ListPath(std::string_view after) const override {
    return "/list?" + std::string(after);
  }
  std::string WatchPath(common::Revision after,
                        std::chrono::milliseconds /*wait*/) const override {
    return "/watch?" + std::to_string(after.value);
  }
  StoreStatus StatusOf(unsigned http_status) const override {
    if (http_status == 200) {
      return StoreStatus::kServed;
    }
    return http_status == 410 ? StoreStatus::kHistoryGone
                              : StoreStatus::kRefused;
  }
  /// A line "AT [more]", then a line "KEY REVISION VALUE..." for each item.
  tl::expected<ListPage, ItemFault> ReadPage(
      const std::string& body) const override {
    std::istringstream lines(body);
    std::string line;
    std::getline(lines, line);
    std::istringstream head(line);
    ListPage page;
    std::string more;
    if (!(head >> page.at.value)) {
      return tl::unexpected(ItemFault("no revision"));
    }
    page.more = static_cast<bool>(head >> more);
    page.items = ReadItems(lines);
    if (!page.items.empty()) {
      page.last_key = page.items.back().key;
    }
    return page;
  }
  tl::expected<ChangeBatch, ItemFault> ReadChanges(
      const std::string& body) const override {
    std::istringstream lines(body);
    std::string line;
    std::getline(lines, line);
    std::istringstream head(line);
    ChangeBatch batch;
    if (!(head >> batch.at.value)) {
      return tl::unexpected(ItemFault("no revision"));
    }
    batch.changes = ReadItems(lines);
    return batch;
  }
  tl::expected<PublishedItem, ItemFault> ReadItem(
      const std::string& key, const std::string& value) const override {
    constexpr std::string_view kEvacuation = "evacuation/";
    std::istringstream words(value);
    if (key.starts_with(kEvacuation)) {
      if (value != "{}") {
        return tl::unexpected(ItemFault("no object"));
      }
      return PublishedEvacuation{key.substr(kEvacuation.size())};
    }
    return key == "configuration" ? ReadConfiguration(words)
                                  : ReadTarget(key, words);
  }

 private:
  static constexpr std::string_view kWarmup = "warmup:";
  static constexpr std::string_view kCold = "cold=";
  static constexpr std::string_view kStart = "start=";
  static constexpr std::string_view kSequence = "seq=";

  static std::vector<Item> ReadItems(std::istringstream& lines) {
    std::vector<Item> items;
    std::string line;
    while (std::getline(lines, line)) {
      std::istringstream words(line);
      Item item;
      words >> item.key >> item.revision.value;
      std::string value;
      if (std::getline(words >> std::ws, value)) {
        item.value = value;
      }
      items.push_back(item);
    }
    return items;
  }

  static tl::expected<PublishedItem, ItemFault> ReadConfiguration(
      std::istringstream& words) {
    PublishedConfiguration configuration;
    if (!(words >> configuration.version)) {
      return tl::unexpected(ItemFault("no version"));
    }
    std::string word;
    while (words >> word) {
      const std::size_t equals = word.find('=');
      if (word.starts_with(kWarmup)) {
        configuration.services.push_back(
            {word.substr(kWarmup.size(), equals - kWarmup.size()),
             std::stod(word.substr(equals + 1))});
        continue;
      }
      PublishedRoute route{*common::Endpoint::Parse(word.substr(0, equals)),
                           {}};
      if (const std::size_t at = word.find('#'); at != std::string::npos) {
        route.rank =
            static_cast<std::uint32_t>(std::stoul(word.substr(at + 1)));
        word.resize(at);
      }
      if (const std::size_t at = word.find('@'); at != std::string::npos) {
        route.allowed_regions = {word.substr(at + 1)};
        word.resize(at);
      }
      std::istringstream services(word.substr(equals + 1));
      std::string service;
      while (std::getline(services, service, ',')) {
        route.shares.push_back({service, 1});
      }
      configuration.routes.push_back(route);
    }
    return configuration;
  }

  static tl::expected<PublishedItem, ItemFault> ReadTarget(
      const std::string& key, std::istringstream& words) {
    PublishedTarget target;
    std::string address;
    std::string state;
    if (!(words >> target.service >> target.domain >> address)) {
      return tl::unexpected(ItemFault("a word is missing"));
    }
    target.address = *common::Endpoint::Parse(address);
    target.number = {std::stoull(key.substr(key.find('/') + 1), nullptr, 16)};
    target.slots = 2;
    while (words >> state) {
      if (state.starts_with(kCold)) {
        target.warmup_left =
            std::chrono::milliseconds(std::stol(state.substr(kCold.size())));
      } else if (state.starts_with(kStart)) {
        target.started_at =
            std::chrono::milliseconds(std::stol(state.substr(kStart.size())));
      } else if (state.starts_with(kSequence)) {
        target.sequence = std::stoul(state.substr(kSequence.size()));
      } else {
        target.draining = true;
      }
    }
    return target;
  }
};

/// The value of a target's item.
inline std::string TargetText(const std::string& service,
                              const std::string& domain,
                              const std::string& address) {
  return service + " " + domain + " " + address;
}

}  // namespace sassafrasdyke::core
