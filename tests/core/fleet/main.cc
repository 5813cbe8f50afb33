/// The test program of source/core/fleet.
#define BOOST_TEST_MODULE core_fleet
#include <boost/test/unit_test.hpp>
