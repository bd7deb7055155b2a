#define BOOST_TEST_MODULE endless
#include <boost/test/unit_test.hpp>
