#define BOOST_TEST_MODULE log
#include <boost/test/unit_test.hpp>
