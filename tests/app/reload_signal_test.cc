/// Tests of SIGHUP received during startup.
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "app/run.h"
#include "common/address.h"

namespace sassafrasdyke::app {
namespace {

using namespace std::chrono_literals;

/// The loopback address is derived from the process ID so that concurrent test
/// runs do not compete for ports.
std::string SettingsJson() {
  constexpr std::uint32_t kLoopback = 0x7F800000;
  constexpr std::uint32_t kHostMask = 0x3FFFFF;
  const auto pid = static_cast<std::uint32_t>(getpid());
  const std::string host =
      common::IpAddress::FromV4(kLoopback | (pid & kHostMask)).ToString();
  return R"({"instance": "front-1", "domain": "north-a", "region": "north",
    "listen": {"packets": ")" +
         host + R"(:8172", "readiness": ")" + host + R"(:8167", "peers": ")" +
         host + R"(:7720", "metrics": ")" + host + R"(:7735"},
    "store": ")" +
         host + R"(:8169", "seeds": [],
    "times": {"grace_s": 1, "flow_life_s": 60, "apply_ms": 3000,
              "drain_ms": 3000}})";
}

/// Runs the program as a child process with standard output redirected to a
/// file.
class ChildProcess {
 public:
  ChildProcess(const std::string& settings_path, std::string output_path)
      : output_path(std::move(output_path)) {
    const std::array<const char*, 5> arguments{SASSAFRASDYKE_PROGRAM, "front",
                                               "--settings",
                                               settings_path.c_str(), nullptr};
    this->pid = fork();
    BOOST_REQUIRE(this->pid >= 0);
    if (this->pid == 0) {
      const int output_fd =
          open(this->output_path.c_str(), O_WRONLY | O_CREAT, 0600);
      dup2(output_fd, STDOUT_FILENO);
      execv(arguments[0], const_cast<char* const*>(arguments.data()));
      _exit(127);
    }
  }
  ~ChildProcess() {
    if (!this->reaped) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number) const { BOOST_REQUIRE(kill(this->pid, number) == 0); }

  /// Waits until the output contains `expected`. Returns false if the child
  /// exits first or the attempts run out.
  bool WaitForOutput(const std::string& expected) {
    constexpr int kMaxAttempts = 600;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      std::ostringstream text;
      text << std::ifstream(this->output_path).rdbuf();
      if (Contains(text.str(), expected)) {
        return true;
      }
      if (waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
        this->reaped = true;
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Waits for the child to exit and returns its wait status.
  int Wait() {
    if (!this->reaped) {
      waitpid(this->pid, &this->status, 0);
      this->reaped = true;
    }
    return this->status;
  }

 private:
  std::string output_path;
  pid_t pid{0};
  int status{0};
  bool reaped{false};
};

// Guards against SIGHUP terminating an instance whose handler is not yet
// installed.
BOOST_AUTO_TEST_CASE(a_reload_signal_during_startup_is_handled_afterwards) {
  const TestFolder folder;
  const std::string path = (folder.path / "settings.json").string();
  BOOST_REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  ChildProcess child(path, (folder.path / "output").string());

  // open() returns once the program opens its settings. The program then blocks
  // in the read until the pipe is written and closed.
  const int pipe_fd = open(path.c_str(), O_WRONLY);
  BOOST_REQUIRE(pipe_fd >= 0);
  child.Signal(SIGHUP);
  // The reload reads a regular file, not the pipe.
  const std::string replacement = folder.Write("next.json", SettingsJson());
  std::filesystem::rename(replacement, path);
  const std::string json = SettingsJson();
  BOOST_REQUIRE(write(pipe_fd, json.data(), json.size()) ==
                static_cast<ssize_t>(json.size()));
  close(pipe_fd);

  BOOST_TEST(child.WaitForOutput("settings-read"));
  child.Signal(SIGTERM);
  const int status = child.Wait();
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace sassafrasdyke::app
