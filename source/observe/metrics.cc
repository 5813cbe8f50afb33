#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace sassafrasdyke::observe {
namespace {

prometheus::Labels LabelsOf(const MetricInfo& info, std::string_view value) {
  if (info.label.empty()) {
    return {};
  }
  return {{std::string(info.label), std::string(value)}};
}

}  // namespace

void Metrics::SetTotal(const MetricInfo& info, std::uint64_t total,
                       std::string_view label_value) {
  prometheus::Counter& counter = prometheus::BuildCounter()
                                     .Name(std::string(info.name))
                                     .Help(std::string(info.help))
                                     .Register(this->registry)
                                     .Add(LabelsOf(info, label_value));
  counter.Increment(static_cast<double>(total) - counter.Value());
}

void Metrics::SetValue(const MetricInfo& info, double value,
                       std::string_view label_value) {
  prometheus::BuildGauge()
      .Name(std::string(info.name))
      .Help(std::string(info.help))
      .Register(this->registry)
      .Add(LabelsOf(info, label_value))
      .Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace sassafrasdyke::observe
