#define BOOST_TEST_MODULE shell
#include <boost/test/unit_test.hpp>
