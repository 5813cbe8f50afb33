#include "rig/platform.h"

#include <optional>

namespace sassafrasdyke::rig {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;
constexpr unsigned kNotFound = 404;

std::optional<core::DocumentKind> KindOf(const std::string& path) {
  if (path == "/configuration") {
    return core::DocumentKind::kConfiguration;
  }
  if (path == "/instances") {
    return core::DocumentKind::kInstances;
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t Platform::Publish(core::DocumentKind kind,
                                nlohmann::ordered_json document) {
  Revisions& revisions = this->Of(kind);
  document["revision"] = revisions.size() + 1;
  revisions.push_back(document.dump(1));
  return revisions.size();
}

void Platform::Open(common::DomainId domain, const common::Endpoint& listen) {
  this->doors.emplace(domain, std::make_unique<Door>(*this, listen));
}

void Platform::SetMode(common::DomainId domain, PlatformMode mode,
                       std::chrono::milliseconds delay) {
  if (const auto door = this->doors.find(domain); door != this->doors.end()) {
    door->second->SetMode(mode, delay);
  }
}

std::uint64_t Platform::Calls() const {
  std::uint64_t calls = 0;
  for (const auto& [domain, door] : this->doors) {
    calls += door->Calls();
  }
  return calls;
}

Platform::Door::Door(Platform& platform, const common::Endpoint& listen)
    : platform(platform), server(listen, *this) {}

void Platform::Door::SetMode(PlatformMode mode,
                             std::chrono::milliseconds delay) {
  this->mode = mode;
  this->delay = delay;
  for (std::size_t i = 0; i < this->stale_at.size(); ++i) {
    this->stale_at[i] = this->platform.documents[i].size();
  }
}

std::size_t Platform::Door::Newest(core::DocumentKind kind, bool watch) const {
  const std::size_t newest = this->platform.Of(kind).size();
  if (this->mode == PlatformMode::kStale) {
    return this->stale_at[static_cast<std::size_t>(kind)];
  }
  if (this->mode == PlatformMode::kOlder && !watch && newest > 1) {
    return newest - 1;
  }
  return newest;
}

HttpReply Platform::Door::OnRequest(const HttpRequest& request,
                                    std::chrono::milliseconds held) {
  if (this->mode == PlatformMode::kDown) {
    return {.kind = HttpReply::Kind::kHangUp};
  }
  if (this->mode == PlatformMode::kSlow && held < this->delay) {
    return {.kind = HttpReply::Kind::kHold};
  }
  const auto kind = KindOf(request.path);
  if (!kind) {
    return {.status = kNotFound};
  }
  const std::size_t newest = this->Newest(*kind, request.after.has_value());
  if (newest == 0 || newest <= request.after.value_or(0)) {
    const bool hold = held < request.wait;
    return {.kind = hold ? HttpReply::Kind::kHold : HttpReply::Kind::kAnswer,
            .status = newest == 0 ? kNotFound : kNotModified};
  }
  return {.status = kOk, .body = this->platform.Of(*kind)[newest - 1]};
}

}  // namespace sassafrasdyke::rig
