#include "tests/stand_ins/raw_client.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <stdexcept>

BOOST_AUTO_TEST_SUITE(RawClients)

// Guards against a socket that stays open after each refused connection, which ended long soak runs.
BOOST_AUTO_TEST_CASE(ARefusedConnectionLeavesNoSocketOpen)
{
    const auto countDescriptors = [] {
        return std::distance(std::filesystem::directory_iterator { "/proc/self/fd" }, {});
    };
    const std::ptrdiff_t before = countDescriptors();
    BOOST_CHECK_THROW(curranttrail::stand_ins::RawClient("127.0.0.1", 1), std::runtime_error);
    BOOST_TEST(countDescriptors() == before);
}

BOOST_AUTO_TEST_SUITE_END()
