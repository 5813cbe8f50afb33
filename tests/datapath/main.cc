/// The test program of source/datapath.
#define BOOST_TEST_MODULE datapath
#include <boost/test/unit_test.hpp>
