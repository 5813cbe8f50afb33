#include "front/status_handlers.h"

namespace sassafrasdyke::front {

http::Response ReadinessHandler::Answer(const std::string& /*path*/) {
  return {this->ready() ? 200U : 503U, "text/plain", ""};
}

http::Response MetricsHandler::Answer(const std::string& path) {
  if (path != "/metrics") {
    return {404, "text/plain", "only /metrics is here\n"};
  }
  return {200, "text/plain; version=0.0.4", this->text()};
}

}  // namespace sassafrasdyke::front
