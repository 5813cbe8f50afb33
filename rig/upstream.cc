#include "rig/upstream.h"

#include <string>

namespace sassafrasdyke::rig {
namespace {

constexpr unsigned kOk = 200;

}  // namespace

void Upstream::Listen(const common::Endpoint& health) {
  this->server = std::make_unique<HttpServer>(health, *this);
}

HttpReply Upstream::OnRequest(const HttpRequest& /*request*/,
                              std::chrono::milliseconds /*held*/) {
  const std::string body = this->target.Health();
  if (body.empty()) {
    return {.kind = HttpReply::Kind::kHangUp};
  }
  return {.status = kOk, .body = body};
}

}  // namespace sassafrasdyke::rig
