/// The test program of source/common.
#define BOOST_TEST_MODULE common
#include <boost/test/unit_test.hpp>
