/// The test program of source/config.
#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>
