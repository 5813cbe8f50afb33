/// The test program of this folder.
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
