#define BOOST_TEST_MODULE gateway_shell
#include <boost/test/unit_test.hpp>
