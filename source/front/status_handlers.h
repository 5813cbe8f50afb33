/// What routers and scrapers are answered.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "http/server.h"

namespace sassafrasdyke::front {

/// Answers the routers' checks, whatever path they ask for.
class ReadinessHandler final : public http::Handler {
 public:
  explicit ReadinessHandler(std::function<bool()> ready)
      : ready(std::move(ready)) {}

  http::Response Answer(const std::string& path) override;

 private:
  std::function<bool()> ready;
};

/// Answers scrapers at /metrics.
class MetricsHandler final : public http::Handler {
 public:
  explicit MetricsHandler(std::function<std::string()> text)
      : text(std::move(text)) {}

  http::Response Answer(const std::string& path) override;

 private:
  std::function<std::string()> text;
};

}  // namespace sassafrasdyke::front
