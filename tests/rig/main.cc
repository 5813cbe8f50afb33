/// The test program of rig.
#define BOOST_TEST_MODULE rig
#include <boost/test/unit_test.hpp>
