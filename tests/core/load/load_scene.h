/// An instance of the domain "north" that measures its load and keeps that of
/// others. Targets of the service "diary" are in three domains.
#pragma once

#include <array>
#include <chrono>
#include <string>

#include "core/load/load_board.h"
#include "core/load/load_meter.h"

namespace sassafrasdyke::core {

inline const std::array<std::string, 3> kLoadDomains{"north", "south", "west"};

struct LoadScene {
  LoadScene() : meter(this->targets), board("north", this->meter) {
    for (std::uint32_t i = 0; i < kLoadDomains.size(); ++i) {
      PublishedTarget target;
      target.number = {i + 1};
      target.service = "diary";
      target.domain = kLoadDomains.at(i);
      target.address = {common::IpAddress::FromV4(i + 1), 8080};
      this->targets.Publish("target/" + std::to_string(i + 1), target, {});
    }
  }

  /// A target of the domain with this position in `kLoadDomains`.
  TargetIndex TargetIn(std::uint32_t domain) const {
    return *this->targets.IndexOf(WordFor({domain + 1}));
  }
  /// The instance sends requests to the own domain at a constant rate and ticks
  /// for `time`. Each takes 30 ms at the target after a handshake of 2 ms.
  void Run(std::chrono::milliseconds time, unsigned requests_per_100ms,
           std::size_t instances = 10) {
    using std::chrono::milliseconds;
    for (const milliseconds end = this->now + time; this->now < end;) {
      this->now += milliseconds(100);
      for (unsigned i = 0; i < requests_per_100ms; ++i) {
        this->meter.OnOpening(this->TargetIn(0), this->now);
        this->meter.OnAnswer(this->TargetIn(0),
                             {this->now, milliseconds(34), milliseconds(2)},
                             this->now);
      }
      this->board.OnTick(this->now, instances);
    }
  }
  /// The load of "diary" at the domain's targets; an unreachable one without
  /// reporters if nothing is known.
  DomainLoad At(const std::string& domain) const {
    for (const DomainLoad& load : this->board.Of("diary")) {
      if (load.domain == domain) {
        return load;
      }
    }
    return {domain, 0, 0, {}, false, {}, 0};
  }

  std::chrono::milliseconds now{0};
  TargetTable targets{std::chrono::seconds(60)};
  LoadMeter meter;
  LoadBoard board;
};

/// A report of "diary" at the targets of one domain.
inline LoadReport ReportOf(double rate, double concurrency,
                           const std::string& domain = "north") {
  return {{{ServiceKeyOf("diary"), domain, rate, concurrency}}};
}

}  // namespace sassafrasdyke::core
