#include "transport/control_protocol.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::transport;

BOOST_AUTO_TEST_SUITE(ControlProtocol)

// Guards against a field that is lost in serialization.
BOOST_AUTO_TEST_CASE(ConfigurationAnswerRoundTrips)
{
    ConfigurationAnswer answer;
    ClassTarget target { "safety", "stone", "safety", 0.999, Micros { 80'000 }, 0.995, false, { 9 } };
    answer.classes["stone"] = { "stone", { 12 }, { { "safety", target } } };
    answer.versions = { { "stone", { 12 } }, { "nile", { 4 } } };
    answer.controlOwner = "stone";
    answer.leaderWithLease = true;
    answer.dataCentre = "gauteng-1";
    answer.leader = "stone-c1";
    const ConfigurationAnswer back = decode<ConfigurationAnswer>(encode(answer)).value();
    const ClassTarget& copy = back.classes.at("stone").classes.at("safety");
    BOOST_TEST(copy.percentile == 0.999);
    BOOST_TEST(copy.latency.count() == 80'000);
    BOOST_TEST(copy.minimumCoverage == 0.995);
    BOOST_TEST(!copy.repeatable);
    BOOST_TEST(copy.version.value == 9U);
    BOOST_TEST((back.versions == answer.versions));
    BOOST_TEST(back.leaderWithLease);
    BOOST_TEST(back.leader.value() == "stone-c1");
}

// Guards against reading past the end of a message, accepting extra bytes, or allocating memory for an untrusted length.
BOOST_AUTO_TEST_CASE(MalformedBodiesAreRejected)
{
    const std::string body = encode(SubmitCommand { control::ClaimRequest { "order-1", "nile-e1#3", 17, 18 } });
    BOOST_TEST(decode<SubmitCommand>(body).has_value());
    for (std::size_t size = 0; size < body.size(); ++size)
        BOOST_TEST(!decode<SubmitCommand>(std::string_view { body }.substr(0, size)).has_value());
    BOOST_TEST(!decode<SubmitCommand>(body + "x").has_value());
    std::string huge(16, '\xff');
    huge[0] = 1;
    BOOST_TEST(!decode<FetchConfiguration>(huge).has_value());
    BOOST_TEST(!decode<ReplicaMessage>(huge).has_value());
    BOOST_TEST(!decode<ConfigurationAnswer>(huge).has_value());
}

// Guards against accepting a settlement whose outcome is not a known verdict.
BOOST_AUTO_TEST_CASE(UnknownVerdictIsRejected)
{
    std::string body = encode(SubmitCommand { control::SettleClaimRequest { "order-1", "nile-e1#3", Verdict::NotRun } });
    const std::size_t position = body.find("not_run");
    BOOST_REQUIRE(position != std::string::npos);
    body[position] = 'h';
    BOOST_TEST(!decode<SubmitCommand>(body).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
