/// What a log has written, for tests of it.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

namespace sassafrasdyke::front {

/// A pipe whose reader reads when told to.
class LogPipe {
 public:
  LogPipe() {
    BOOST_REQUIRE(pipe2(this->ends.data(), O_CLOEXEC) == 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }
  ~LogPipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  int WriteEnd() const { return this->ends[1]; }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> bytes;
    ssize_t size = 0;
    while ((size = read(this->ends[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> ends{};
};

}  // namespace sassafrasdyke::front
