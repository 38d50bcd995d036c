#include "control/member_directory.h"
#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace curranttrail;
using namespace curranttrail::control;

BOOST_AUTO_TEST_SUITE(MemberDirectories)

// Guards against members that are forgotten because an instance that does not lead names others.
BOOST_AUTO_TEST_CASE(OnlyALeaderReplacesTheMembers)
{
    MemberDirectory directory;
    directory.setMembers({ "a", "b" });
    BOOST_TEST((directory.addNamed({ "b", "c" }) == std::vector<InstanceName> { "c" }));
    BOOST_TEST(directory.addNamed({ "c" }).empty());
    BOOST_TEST((directory.all() == std::set<InstanceName> { "a", "b", "c" }));
    directory.setMembers({ "b", "d" });
    BOOST_TEST((directory.all() == std::set<InstanceName> { "b", "d" }));
}

// Guards against a directory that grows without limit, and against a full one that loses the members.
BOOST_AUTO_TEST_CASE(NamesBeyondTheLimitAreIgnored)
{
    MemberDirectory directory;
    directory.setMembers({ "a" });
    for (std::size_t n = 0; n < 2 * kMaximumMembers; ++n)
        directory.addNamed({ std::to_string(n) });
    BOOST_TEST(directory.all().size() == kMaximumMembers + 1);
    BOOST_TEST(directory.all().contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()
