/// The test program of source/core.
#define BOOST_TEST_MODULE core
#include <boost/test/unit_test.hpp>
