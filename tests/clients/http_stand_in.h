/// A tiny HTTP server for tests, on a port of 127.0.0.1 that the system picks.
#pragma once

#include <microhttpd.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasdyke::clients {

/// Answers each request with the next answer of a script.
class HttpStandIn {
 public:
  /// One scripted answer.
  struct Answer {
    unsigned status{200};
    std::string body;
    bool hold{false};  ///< Answers nothing before the stand-in ends.
  };

  HttpStandIn();
  ~HttpStandIn();
  HttpStandIn(const HttpStandIn&) = delete;
  HttpStandIn& operator=(const HttpStandIn&) = delete;

  /// "127.0.0.1:PORT".
  std::string Address() const;
  /// Adds an answer for requests whose path starts with `path`. When only one
  /// is left, it is repeated. Without any the answer is 404.
  void Script(const std::string& path, Answer answer);
  /// The requests so far, each as "/path?query".
  std::vector<std::string> Requests() const;

 private:
  struct PathScript {
    std::string path;
    std::deque<Answer> answers;
  };

  static MHD_Result OnRequest(void* stand_in, MHD_Connection* connection,
                              const char* url, const char* method,
                              const char* version, const char* upload,
                              std::size_t* upload_size, void** state);
  Answer Next(const std::string& request);
  void HoldUntilEnd();

  mutable std::mutex mutex;
  std::condition_variable ended_changed;
  bool ended{false};
  std::vector<PathScript> scripts;
  std::vector<std::string> requests;
  MHD_Daemon* daemon{nullptr};
};

}  // namespace sassafrasdyke::clients
