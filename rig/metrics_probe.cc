#include "rig/metrics_probe.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdlib>
#include <utility>

#include "rig/socket.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::size_t kReadBytes = 16384;
/// The status code lies in the first few bytes of an answer.
constexpr std::size_t kStatusEnd = 16;
constexpr double kDeadlineSeconds = 1.0;
constexpr std::string_view kQuestion =
    "GET /metrics HTTP/1.0\r\nHost: instance\r\nConnection: close\r\n\r\n";
constexpr std::string_view kConfigurationRevision =
    "sassafrasdyke_document_revision{document=\"configuration\"} ";
constexpr std::string_view kInstancesRevision =
    "sassafrasdyke_document_revision{document=\"instances\"} ";
constexpr std::string_view kSentBytes =
    "sassafrasdyke_peer_bytes_total{direction=\"sent\"} ";
constexpr std::string_view kDataCpu =
    "sassafrasdyke_task_cpu_milliseconds_total{task=\"data\"} ";

/// The value of a line that starts with `name`.
std::optional<double> ValueOf(std::string_view line, std::string_view name) {
  if (!line.starts_with(name)) {
    return std::nullopt;
  }
  const std::string value(line.substr(name.size()));
  return std::strtod(value.c_str(), nullptr);
}

}  // namespace

InstanceMetrics ParseMetrics(std::string_view text) {
  InstanceMetrics metrics;
  metrics.text = text;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    if (const auto value = ValueOf(line, kConfigurationRevision)) {
      metrics.configuration_revision = static_cast<std::uint64_t>(*value);
    } else if (const auto list = ValueOf(line, kInstancesRevision)) {
      metrics.instances_revision = static_cast<std::uint64_t>(*list);
    } else if (const auto bytes = ValueOf(line, kSentBytes)) {
      metrics.control_bytes = *bytes;
    } else if (const auto cpu = ValueOf(line, kDataCpu)) {
      metrics.data_cpu =
          std::chrono::milliseconds{static_cast<std::int64_t>(*cpu)};
    }
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return metrics;
}

void MetricsProbe::Read(const common::Endpoint& port, Reader reader) {
  // A query can't remove itself while it runs.
  this->queries.remove_if([](const Query& query) { return query.Done(); });
  this->queries.emplace_back(port, std::move(reader));
}

MetricsProbe::Query::Query(const common::Endpoint& port, Reader reader)
    : descriptor(
          ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      reader(std::move(reader)) {
  const SocketAddress address = ToSocketAddress(port);
  // A refusal shows when the socket turns writable.
  static_cast<void>(::connect(this->descriptor, address.Get(), address.length));
  this->io.set<Query, &Query::OnReady>(this);
  this->io.start(this->descriptor, ev::WRITE);
  this->deadline.set<Query, &Query::OnDeadline>(this);
  this->deadline.start(kDeadlineSeconds);
}

MetricsProbe::Query::~Query() {
  this->io.stop();
  ::close(this->descriptor);
}

void MetricsProbe::Query::OnReady(ev::io& /*watcher*/, int /*events*/) {
  if (!this->asked) {
    this->Ask();
    return;
  }
  std::array<char, kReadBytes> buffer;
  const ssize_t count =
      ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    this->text.append(buffer.data(), static_cast<std::size_t>(count));
  } else if (count == 0 || errno != EAGAIN) {
    this->Finish(count == 0);
  }
}

void MetricsProbe::Query::Ask() {
  const ssize_t sent = ::send(this->descriptor, kQuestion.data(),
                              kQuestion.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(kQuestion.size())) {
    this->Finish(false);
    return;
  }
  this->asked = true;
  this->io.set(ev::READ);
}

void MetricsProbe::Query::OnDeadline(ev::timer& /*timer*/, int /*events*/) {
  this->Finish(false);
}

void MetricsProbe::Query::Finish(bool whole) {
  this->done = true;
  this->io.stop();
  this->deadline.stop();
  const bool good = whole && this->text.find(" 200 ") < kStatusEnd;
  this->reader(good ? std::optional(ParseMetrics(this->text)) : std::nullopt);
}

}  // namespace sassafrasdyke::rig
