/// A TCP server on 127.0.0.1 that answers each request with the next bytes of a
/// script, whatever they are.
#pragma once

#include <ev++.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/address.h"

namespace sassafrasdyke::http {

class ScriptedServer {
 public:
  /// What to do with one request.
  struct Step {
    std::string bytes;
    bool close{false};  ///< Closes the connection after the bytes.
    /// Sent after `bytes`, one per `chunk_interval`.
    std::vector<std::string> chunks{};
    std::chrono::milliseconds chunk_interval{};
  };

  explicit ScriptedServer(ev::loop_ref loop)
      : loop(loop), accept(loop), chunk_timer(loop) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->listener, generic, size) != 0 ||
        listen(this->listener, 8) != 0 ||
        getsockname(this->listener, generic, &size) != 0) {
      std::abort();
    }
    this->port = ntohs(address.sin_port);
    this->accept.set<ScriptedServer, &ScriptedServer::OnAccept>(this);
    this->accept.start(this->listener, ev::READ);
  }
  ~ScriptedServer() {
    for (auto& [descriptor, watcher] : this->clients) {
      watcher->stop();
      close(descriptor);
    }
    close(this->listener);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  common::Endpoint Address() const {
    return {common::IpAddress::FromV4(INADDR_LOOPBACK), this->port};
  }
  void Script(Step step) { this->steps.push_back(std::move(step)); }
  int Accepted() const { return this->accepted; }
  int Requests() const { return this->requests; }

 private:
  void OnAccept(ev::io& /*watcher*/, int /*events*/) {
    const int client = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (client < 0) {
      return;
    }
    ++this->accepted;
    auto watcher = std::make_unique<ev::io>(this->loop);
    watcher->set<ScriptedServer, &ScriptedServer::OnRequest>(this);
    watcher->start(client, ev::READ);
    this->clients[client] = std::move(watcher);
  }

  void OnRequest(ev::io& watcher, int /*events*/) {
    const int client = watcher.fd;
    char bytes[4096];
    const ssize_t size = recv(client, bytes, sizeof(bytes), 0);
    const bool ended = size <= 0 || this->steps.empty();
    Step step{"", ended};
    if (!ended) {
      ++this->requests;
      step = this->steps.front();
      this->steps.pop_front();
    }
    if (!step.bytes.empty()) {
      send(client, step.bytes.data(), step.bytes.size(), MSG_NOSIGNAL);
    }
    if (!step.chunks.empty()) {
      this->chunk_client = client;
      this->chunks.assign(step.chunks.begin(), step.chunks.end());
      const double seconds =
          std::chrono::duration<double>(step.chunk_interval).count();
      this->chunk_timer.set<ScriptedServer, &ScriptedServer::OnChunkTimer>(
          this);
      this->chunk_timer.start(seconds, seconds);
    }
    if (step.close) {
      this->clients[client]->stop();
      close(client);
      this->clients.erase(client);
    }
  }

  void OnChunkTimer(ev::timer& watcher, int /*events*/) {
    if (this->chunks.empty()) {
      watcher.stop();
      return;
    }
    send(this->chunk_client, this->chunks.front().data(),
         this->chunks.front().size(), MSG_NOSIGNAL);
    this->chunks.pop_front();
  }

  ev::loop_ref loop;
  ev::io accept;
  ev::timer chunk_timer;
  int chunk_client{-1};
  std::deque<std::string> chunks;
  int listener{-1};
  std::uint16_t port{0};
  int accepted{0};
  int requests{0};
  std::deque<Step> steps;
  std::map<int, std::unique_ptr<ev::io>> clients;
};

}  // namespace sassafrasdyke::http
