#define BOOST_TEST_MODULE topology
#include <boost/test/unit_test.hpp>
