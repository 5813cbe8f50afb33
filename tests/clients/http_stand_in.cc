#include "clients/http_stand_in.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdlib>
#include <utility>

namespace sassafrasdyke::clients {
namespace {

MHD_Result AppendQuery(void* text, MHD_ValueKind /*kind*/, const char* key,
                       const char* value) {
  std::string& request = *static_cast<std::string*>(text);
  const bool first = request.find('?') == std::string::npos;
  request.append(first ? "?" : "&").append(key).append("=");
  request.append(value == nullptr ? "" : value);
  return MHD_YES;
}

}  // namespace

HttpStandIn::HttpStandIn() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  this->daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
      nullptr, nullptr, &OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_END);
  if (this->daemon == nullptr) {
    std::abort();
  }
}

HttpStandIn::~HttpStandIn() {
  {
    const std::lock_guard lock(this->mutex);
    this->ended = true;
  }
  this->ended_changed.notify_all();
  MHD_stop_daemon(this->daemon);
}

std::string HttpStandIn::Address() const {
  const MHD_DaemonInfo* const info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return "127.0.0.1:" + std::to_string(info->port);
}

void HttpStandIn::Script(const std::string& path, Answer answer) {
  const std::lock_guard lock(this->mutex);
  for (PathScript& script : this->scripts) {
    if (script.path == path) {
      script.answers.push_back(std::move(answer));
      return;
    }
  }
  this->scripts.push_back({path, {std::move(answer)}});
}

std::vector<std::string> HttpStandIn::Requests() const {
  const std::lock_guard lock(this->mutex);
  return this->requests;
}

MHD_Result HttpStandIn::OnRequest(void* stand_in, MHD_Connection* connection,
                                  const char* url, const char* /*method*/,
                                  const char* /*version*/,
                                  const char* /*upload*/,
                                  std::size_t* /*upload_size*/,
                                  void** /*state*/) {
  std::string request = url;
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendQuery,
                            &request);
  const Answer answer = static_cast<HttpStandIn*>(stand_in)->Next(request);
  if (answer.hold) {
    static_cast<HttpStandIn*>(stand_in)->HoldUntilEnd();
  }
  MHD_Response* const response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),  // NOLINT
      MHD_RESPMEM_MUST_COPY);
  const MHD_Result queued =
      MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return queued;
}

HttpStandIn::Answer HttpStandIn::Next(const std::string& request) {
  const std::lock_guard lock(this->mutex);
  this->requests.push_back(request);
  for (PathScript& script : this->scripts) {
    if (request.rfind(script.path, 0) == 0) {
      Answer answer = script.answers.front();
      if (script.answers.size() > 1) {
        script.answers.pop_front();
      }
      return answer;
    }
  }
  return {404, "", false};
}

void HttpStandIn::HoldUntilEnd() {
  std::unique_lock lock(this->mutex);
  this->ended_changed.wait(lock, [this] { return this->ended; });
}

}  // namespace sassafrasdyke::clients
