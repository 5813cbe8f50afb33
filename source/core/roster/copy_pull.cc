#include "core/roster/copy_pull.h"

namespace sassafrasdyke::core {
namespace {

/// Consecutive redirects to follow. Prevents endless redirects among busy
/// instances.
constexpr unsigned kMaxRedirects = 4;
/// Refusals by one source before the copy is abandoned. A source serves three
/// copies at a time, each in about 0.1 s on a 20 Mbit/s link. As instances that
/// have received a copy serve it too, a failure domain of 116 instances is
/// supplied in half this many ticks.
constexpr unsigned kMaxRefusals = 10;

}  // namespace

std::string_view Word(CopyState state) {
  switch (state) {
    case CopyState::kNone:
      return "none";
    case CopyState::kRunning:
      return "running";
    case CopyState::kWaiting:
      return "waiting";
  }
  return "unknown";
}

common::Endpoint CopyPull::Start(const Copy& copy) {
  this->running = true;
  this->copy = copy;
  return copy.source;
}

std::optional<common::Endpoint> CopyPull::FollowRedirect(
    const std::optional<common::Endpoint>& instead) {
  const bool follow =
      instead && *instead != this->self && this->redirects < kMaxRedirects;
  this->redirects = follow ? this->redirects + 1 : 0;
  this->running = follow;
  return follow ? instead : std::nullopt;
}

std::optional<common::Endpoint> CopyPull::OnFailed(
    const std::optional<common::Endpoint>& instead) {
  const auto next = this->FollowRedirect(instead);
  if (!next) {
    this->copy.reset();
  }
  return next;
}

std::optional<common::Endpoint> CopyPull::OnRefused(
    const std::optional<common::Endpoint>& instead) {
  const auto next = this->FollowRedirect(instead);
  if (!next && this->copy && ++this->copy->refusals > kMaxRefusals) {
    this->copy.reset();
  }
  return next;
}

std::optional<common::Endpoint> CopyPull::Retry(common::Revision have) {
  if (this->running || !this->copy) {
    return std::nullopt;
  }
  if (!this->copy->full && have >= this->copy->revision) {
    this->copy.reset();
    return std::nullopt;
  }
  this->running = true;
  return this->copy->source;
}

void CopyPull::OnPulled() {
  this->running = false;
  this->redirects = 0;
  this->copy.reset();
}

}  // namespace sassafrasdyke::core
