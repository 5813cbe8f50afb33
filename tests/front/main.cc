/// The test program of source/front.
#define BOOST_TEST_MODULE front
#include <boost/test/unit_test.hpp>
