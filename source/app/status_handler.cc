#include "app/status_handler.h"

#include "observe/explain_json.h"
#include "observe/flow_explanation.h"

namespace sassafrasdyke::app {
namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr const char* kPlainText = "text/plain; charset=utf-8";

}  // namespace

StatusHandler::StatusHandler(const observe::LogIdentity& identity,
                             const observe::Metrics& metrics,
                             const observe::StateBoard& board)
    : identity(identity), metrics(metrics), board(board) {}

observe::HttpResponse StatusHandler::Answer(
    const observe::HttpRequest& request) {
  if (request.path == "/metrics") {
    return {.content_type = "text/plain; version=0.0.4; charset=utf-8",
            .body = this->metrics.Text()};
  }
  if (request.path == "/explain") {
    return this->Explain(request);
  }
  if (request.path == "/health") {
    return this->Health();
  }
  return {kNotFound, kPlainText, "/metrics, /explain or /health\n"};
}

observe::HttpResponse StatusHandler::Explain(
    const observe::HttpRequest& request) const {
  const observe::StateReading state = this->board.Read();
  if (!request.flow) {
    return {.body = observe::ExplainState(this->identity, state)};
  }
  const auto flow = observe::ParseFlow(*request.flow);
  if (!flow) {
    return {kBadRequest, kPlainText,
            "flow is not of the form SRC:PORT->DST:PORT\n"};
  }
  const observe::ControlState& control = *state.control;
  if (control.configuration == nullptr) {
    return {kUnavailable, kPlainText, "no configuration is in force yet\n"};
  }
  const auto explanation =
      observe::ExplainFlow(*flow, control.configuration, control.view);
  if (!explanation) {
    return {kNotFound, kPlainText, explanation.error() + "\n"};
  }
  return {.body = observe::WriteExplanation(
              *explanation, *control.configuration, control.view)};
}

observe::HttpResponse StatusHandler::Health() const {
  const observe::StateReading state = this->board.Read();
  if (state.control->configuration == nullptr) {
    return {kUnavailable, kPlainText, "starting\n"};
  }
  if (state.control->view.leaving) {
    return {kUnavailable, kPlainText, "leaving\n"};
  }
  return {.content_type = kPlainText, .body = "serving\n"};
}

}  // namespace sassafrasdyke::app
