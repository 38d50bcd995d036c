#include "tests/query/entry_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::query;

namespace {
ClaimResolved resolved(QueryId query, ClaimOutcome outcome, Verdict earlier = Verdict::MayHaveRun)
{
    return { query, outcome, earlier };
}
} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnceRequests)

// Guards against sending before the claim is granted, and against a claim that is never settled.
BOOST_AUTO_TEST_CASE(ClaimPrecedesTheAttemptAndIsSettled)
{
    EntryHarness entry;
    entry.start(1, 2);
    const QueryId query = entry.submitQuery("once");
    BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
    BOOST_TEST(entry.takeSingleEffect<RequestClaim>().requestId == "id-1");
    entry.handle(resolved(query, ClaimOutcome::Granted));
    const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
    BOOST_TEST(sent.requestId.value() == "id-1");
    entry.reply(sent);
    BOOST_TEST(entry.takeEffects<SendAnswer>().size() == 1U);
    BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::Ran));
}

// Guards against a second attempt after one that may have run, by retry or by hedge.
BOOST_AUTO_TEST_CASE(NoSecondAttemptAfterOneThatMayHaveRun)
{
    for (const AttemptProgress progress : { AttemptProgress::BytesSent, AttemptProgress::Unknown }) {
        EntryHarness entry;
        entry.start(1, 2);
        entry.handle(resolved(entry.submitQuery("once"), ClaimOutcome::Granted));
        const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
        entry.advance(milliseconds(500));
        BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
        entry.handle(SubqueryEnded { sent.attempt, sent.connection, progress });
        entry.advance(milliseconds(100));
        BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
        BOOST_TEST((entry.takeSingleEffect<SendRefusal>().verdict == Verdict::MayHaveRun));
        BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::MayHaveRun));
    }
}

// Guards against refusing a request although no attempt has run.
BOOST_AUTO_TEST_CASE(AnotherAttemptAfterOneThatDidNotRun)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.handle(resolved(entry.submitQuery("once"), ClaimOutcome::Granted));
    SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
    entry.handle(SubqueryEnded { sent.attempt, sent.connection, AttemptProgress::NotSent });
    entry.advance(milliseconds(10));
    sent = entry.takeSingleEffect<SendSubquery>();
    entry.reply(sent, ReplyStatus::Shed);
    entry.advance(milliseconds(10));
    entry.reply(entry.takeSingleEffect<SendSubquery>());
    BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::Ran));
}

// Guards against sending without a granted claim, and against leaving a possibly recorded claim unsettled.
BOOST_AUTO_TEST_CASE(UngrantedClaimsRefuseTheRequest)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.handle(resolved(entry.submitQuery("once"), ClaimOutcome::Unavailable));
    SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::ClaimUnavailable));
    BOOST_TEST((refusal.verdict == Verdict::NotRun));
    BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::NotRun));
    for (const Verdict earlier : { Verdict::Ran, Verdict::MayHaveRun }) {
        entry.handle(resolved(entry.submitQuery("once"), ClaimOutcome::Duplicate, earlier));
        refusal = entry.takeSingleEffect<SendRefusal>();
        BOOST_TEST((refusal.reason == RefusalReason::DuplicateRequest));
        BOOST_TEST((refusal.verdict == earlier));
    }
    entry.handle(resolved(entry.submitQuery("once"), ClaimOutcome::Expired));
    refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::RequestIdExpired));
    BOOST_TEST((refusal.verdict == Verdict::MayHaveRun));
    BOOST_TEST(entry.takeEffects<SettleClaim>().empty());
    BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
}

// Guards against sending for a caller that was told that nothing ran, or that has disconnected.
BOOST_AUTO_TEST_CASE(LateClaimIsSettledAsNotRun)
{
    for (const bool isDisconnected : { false, true }) {
        for (const ClaimOutcome outcome : { ClaimOutcome::Granted, ClaimOutcome::Unavailable, ClaimOutcome::Duplicate }) {
            EntryHarness entry;
            entry.start(1, 2);
            const QueryId query = entry.submitQuery("once", milliseconds(100));
            if (isDisconnected)
                entry.handle(CallerDisconnected { query });
            entry.handle(DrainRequested {});
            entry.advance(milliseconds(150));
            BOOST_TEST(entry.takeEffects<SendRefusal>().size() == (isDisconnected ? 0U : 1U));
            // The drain waits for the claim.
            BOOST_TEST(entry.takeEffects<DrainComplete>().empty());
            entry.handle(resolved(query, outcome));
            BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
            const std::vector<SettleClaim> settled = entry.takeEffects<SettleClaim>();
            BOOST_TEST(settled.size() == (outcome == ClaimOutcome::Duplicate ? 0U : 1U));
            for (const SettleClaim& settle : settled)
                BOOST_TEST((settle.outcome == Verdict::NotRun));
            BOOST_TEST(entry.takeEffects<DrainComplete>().size() == 1U);
        }
    }
}

// Guards against sending if the deadline has passed but the grant is handled before its timer.
BOOST_AUTO_TEST_CASE(RequestGrantedAfterTheDeadlineIsNotSent)
{
    EntryHarness entry;
    entry.start(1, 2);
    const QueryId query = entry.submitQuery("once", milliseconds(100));
    entry.now += milliseconds(150);
    entry.handle(resolved(query, ClaimOutcome::Granted));
    BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().verdict == Verdict::NotRun));
    BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::NotRun));
}

// Guards against a wrong settled outcome if the reply arrives after the deadline or after the caller has disconnected.
BOOST_AUTO_TEST_CASE(OutcomeIsSettledWhenTheAttemptEnds)
{
    for (const bool isDisconnected : { false, true }) {
        for (const ReplyStatus status : { ReplyStatus::Ok, ReplyStatus::Shed }) {
            EntryHarness entry;
            entry.start(1, 2);
            const QueryId query = entry.submitQuery("once", milliseconds(100));
            entry.handle(resolved(query, ClaimOutcome::Granted));
            const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
            if (isDisconnected)
                entry.handle(CallerDisconnected { query });
            entry.advance(milliseconds(120));
            for (const SendRefusal& refusal : entry.takeEffects<SendRefusal>())
                BOOST_TEST((refusal.verdict == Verdict::MayHaveRun));
            BOOST_TEST(entry.takeEffects<SettleClaim>().empty());
            entry.reply(sent, status);
            const Verdict expected = status == ReplyStatus::Ok ? Verdict::Ran : Verdict::NotRun;
            BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == expected));
            entry.advance(milliseconds(50));
            BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
        }
    }
}

// Guards against an outcome that is never settled because the attempt does not end.
BOOST_AUTO_TEST_CASE(OutcomeOfAnAttemptWithoutEndIsSettledInBoundedTime)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.handle(resolved(entry.submitQuery("once", milliseconds(100)), ClaimOutcome::Granted));
    entry.advance(milliseconds(1'500));
    BOOST_TEST((entry.takeSingleEffect<SettleClaim>().outcome == Verdict::MayHaveRun));
    BOOST_TEST(entry.reducer.metrics().queries == 0U);
}

// Guards against running a request whose earlier claim may have been dropped.
BOOST_AUTO_TEST_CASE(RequestIdIsRequiredAndRecent)
{
    EntryHarness entry;
    entry.start(1, 2);
    QueryArrived query { QueryId { 50 }, "nile", "once", milliseconds(100), "id", 1'000'000, 1'600'001, "{}" };
    entry.handle(query);
    SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::RequestIdExpired));
    BOOST_TEST((refusal.verdict == Verdict::MayHaveRun));
    for (const bool withId : { true, false }) {
        query.query.value += 1;
        query.requestId = withId ? std::optional<std::string>("id") : std::nullopt;
        query.issuedAt = withId ? std::nullopt : std::optional<UnixMillis>(1'600'000);
        entry.handle(query);
        BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::MissingRequestId));
    }
    BOOST_TEST(entry.takeEffects<RequestClaim>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
