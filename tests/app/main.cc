/// The test program of source/app.
#define BOOST_TEST_MODULE app
#include <boost/test/unit_test.hpp>
