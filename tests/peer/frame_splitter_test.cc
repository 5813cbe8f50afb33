/// Frames in a byte stream.
#include "peer/frame_splitter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace sassafrasdyke::peer {
namespace {

const std::size_t kPieces[] = {1, 2, 3, 5, 7, 1000};

// TCP hands over whatever has arrived, cut anywhere.
BOOST_DATA_TEST_CASE(finds_frames_however_the_bytes_are_cut, kPieces, size) {
  const std::vector<std::string> frames{"one", "", std::string(300, 'x'), "4"};
  std::string stream;
  for (const std::string& frame : frames) {
    stream += Framed(frame);
  }

  FrameSplitter splitter(300);
  std::vector<std::string> found;
  for (std::size_t at = 0; at < stream.size(); at += size) {
    splitter.Append(stream.substr(at, size));
    while (const auto frame = splitter.Next()) {
      found.push_back(*frame);
    }
  }

  BOOST_TEST((found == frames));
  BOOST_TEST(!splitter.TooLong());
}

// A frame announces more than any message has. Waiting for it would take
// memory without bound.
BOOST_AUTO_TEST_CASE(refuses_a_frame_as_soon_as_it_announces_too_much) {
  FrameSplitter splitter(300);
  splitter.Append(Framed("one") + Framed(std::string(301, 'x')).substr(0, 4));

  BOOST_TEST(!splitter.TooLong());
  BOOST_TEST(splitter.Next().has_value());
  BOOST_TEST(splitter.TooLong());
  BOOST_TEST(!splitter.Next().has_value());
}

}  // namespace
}  // namespace sassafrasdyke::peer
