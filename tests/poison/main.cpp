#define BOOST_TEST_MODULE poison
#include <boost/test/unit_test.hpp>
