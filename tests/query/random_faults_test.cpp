#include "tests/query/entry_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace curranttrail;
using namespace curranttrail::query;

namespace {

// Simulates servers, claims and callers that fail at random, and checks the invariants after every event.
class RandomFaults {
public:
    explicit RandomFaults(std::uint64_t seed)
        : m_entry(seed)
    {
        m_random.seed(seed);
        m_entry.connectionLimit = static_cast<std::uint32_t>(2 + pick(10));
        m_entry.start(2 + pick(4), 1 + pick(3));
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            performRandomStep();
            check();
        }
        m_entry.handle(DrainRequested {});
        for (int round = 0; round < 30; ++round) {
            while (!m_claims.empty())
                resolveClaim(ClaimOutcome::Granted);
            while (!m_open.empty())
                finishOne(0);
            m_entry.advance(milliseconds(300));
            check();
        }
        checkEnd();
    }

private:
    struct SubmittedQuery {
        std::string className;
        bool isAnswered = false;
        bool isDisconnected = false;
        bool isNotRun = false;
        int settled = 0;
        bool isSettledNotRun = false;
        bool mustSettle = false;
        int ran = 0;
        // Runs by shard. An at-most-once request runs at most once on each shard.
        std::map<std::string, int> ranOn;
    };

    std::uint64_t pick(std::uint64_t count) { return boost::random::uniform_int_distribution<std::uint64_t>(0, count - 1)(m_random); }
    SubmittedQuery& submittedWith(const std::string& body) { return m_submitted.at(body); }

    void countRun(const SendSubquery& sent)
    {
        SubmittedQuery& submitted = submittedWith(*sent.body);
        ++submitted.ran;
        ++submitted.ranOn[sent.shard.shard];
    }

    void performRandomStep()
    {
        switch (pick(16)) {
        case 0:
        case 1:
        case 2: {
            const char* names[] = { "search", "full", "once" };
            const std::string name = names[pick(3)];
            m_submitted["body-" + std::to_string(m_entry.lastQuery + 1)].className = name;
            m_entry.submitQuery(name.c_str(), milliseconds(20 + pick(300)));
            return;
        }
        case 3:
            m_entry.advance(Micros { static_cast<std::int64_t>(pick(40'000)) });
            return;
        case 4: {
            const std::string body = "body-" + std::to_string(1 + pick(m_entry.lastQuery + 1));
            if (!m_submitted.contains(body))
                return;
            submittedWith(body).isDisconnected = true;
            m_entry.handle(CallerDisconnected { QueryId { std::stoull(body.substr(5)) } });
            return;
        }
        case 5: {
            const ClaimOutcome outcomes[] = { ClaimOutcome::Granted, ClaimOutcome::Granted, ClaimOutcome::Unavailable, ClaimOutcome::Duplicate };
            resolveClaim(outcomes[pick(4)]);
            return;
        }
        case 6: {
            // Advances the index at random: the server holds the current version, or the current and the next one.
            m_version += pick(4) == 0 ? 1 : 0;
            const std::uint64_t shard = pick(m_entry.shards);
            m_entry.handle(m_entry.report(shard, pick(m_entry.replicas), pick(2) == 0 ? std::vector<std::uint64_t> { m_version } : std::vector<std::uint64_t> { m_version, m_version + 1 }));
            return;
        }
        case 7:
            deliverMismatchedReply();
            return;
        default:
            if (!m_open.empty())
                finishOne(pick(8));
            return;
        }
    }

    void resolveClaim(ClaimOutcome outcome)
    {
        if (m_claims.empty())
            return;
        const RequestClaim claim = m_claims.back();
        m_claims.pop_back();
        submittedWith("body-" + std::to_string(claim.query.value)).mustSettle = outcome == ClaimOutcome::Granted || outcome == ClaimOutcome::Unavailable;
        m_entry.handle(ClaimResolved { claim.query, outcome, Verdict::MayHaveRun });
    }

    // Delivers a reply that is late, duplicated or on the wrong connection.
    void deliverMismatchedReply()
    {
        if (m_allSent.empty())
            return;
        SubqueryReplied reply = EntryHarness::replyTo(m_allSent[pick(m_allSent.size())]);
        reply.payload = "false";
        if (!m_open.empty() && pick(2) == 0) {
            const SendSubquery& other = m_open[pick(m_open.size())];
            if (pick(2) == 0)
                reply.connection = other.connection;
            else
                reply.attempt = other.attempt;
        }
        const bool isGenuine = std::any_of(m_open.begin(), m_open.end(),
            [&](const SendSubquery& open) { return open.attempt == reply.attempt && open.connection == reply.connection; });
        if (!isGenuine)
            m_entry.handle(reply);
    }

    void finishOne(std::uint64_t outcomeIndex)
    {
        const std::size_t index = pick(m_open.size());
        const SendSubquery sent = m_open[index];
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        m_busy.erase(sent.connection);
        const std::string payload = *sent.body + "/" + sent.shard.shard + "/" + std::to_string(sent.snapshot.value);
        SubqueryReplied reply = EntryHarness::replyTo(sent);
        reply.payload = payload;
        switch (outcomeIndex) {
        case 4:
            reply.status = ReplyStatus::Shed;
            break;
        case 5:
            reply.status = ReplyStatus::SnapshotGone;
            break;
        case 6:
            m_entry.handle(SubqueryEnded { sent.attempt, sent.connection, AttemptProgress::NotSent });
            m_entry.handle(ConnectionLost { sent.connection });
            return;
        case 7:
            if (pick(2) == 0)
                countRun(sent);
            if (pick(2) == 0)
                m_entry.handle(SubqueryEnded { sent.attempt, sent.connection, AttemptProgress::BytesSent });
            m_entry.handle(ConnectionLost { sent.connection });
            return;
        default:
            countRun(sent);
            if (outcomeIndex == 3)
                reply.status = ReplyStatus::Failed;
            if (outcomeIndex == 2) {
                reply.snapshot.value += 1;
                reply.payload = "false";
            }
            break;
        }
        m_entry.handle(reply);
    }

    void check()
    {
        for (const CloseConnection& closed : m_entry.takeEffects<CloseConnection>()) {
            m_busy.erase(closed.connection);
            std::erase_if(m_open, [&](const SendSubquery& open) {
                if (open.connection != closed.connection)
                    return false;
                if (pick(2) == 0)
                    countRun(open);
                return true;
            });
        }
        for (const SendSubquery& sent : m_entry.takeEffects<SendSubquery>()) {
            // Requirement R3: a connection carries one attempt at a time.
            BOOST_TEST(m_busy.insert(sent.connection).second);
            m_open.push_back(sent);
            m_allSent.push_back(sent);
        }
        for (const RequestClaim& claim : m_entry.takeEffects<RequestClaim>())
            m_claims.push_back(claim);
        for (const SendAnswer& answer : m_entry.takeEffects<SendAnswer>())
            checkAnswer(answer);
        for (const SendRefusal& refusal : m_entry.takeEffects<SendRefusal>()) {
            SubmittedQuery& submitted = markAnswered(refusal.query);
            submitted.isNotRun = refusal.verdict == Verdict::NotRun;
        }
        for (const SettleClaim& settle : m_entry.takeEffects<SettleClaim>()) {
            SubmittedQuery& submitted = submittedWith("body-" + settle.requestId.substr(3));
            ++submitted.settled;
            submitted.isSettledNotRun = settle.outcome == Verdict::NotRun;
        }
    }

    SubmittedQuery& markAnswered(QueryId query)
    {
        SubmittedQuery& submitted = submittedWith("body-" + std::to_string(query.value));
        BOOST_TEST(!submitted.isAnswered);
        BOOST_TEST(!submitted.isDisconnected);
        submitted.isAnswered = true;
        return submitted;
    }

    void checkAnswer(const SendAnswer& answer)
    {
        const SubmittedQuery& submitted = markAnswered(answer.query);
        const std::string body = "body-" + std::to_string(answer.query.value);
        std::vector<KeyRange> ranges;
        std::uint64_t covered = 0;
        BOOST_TEST(answer.results.size() == answer.coverage.covered.size());
        for (const ShardResult& result : answer.results) {
            // Requirements R1 and R3: each result belongs to this query, this shard and this snapshot.
            BOOST_TEST(result.payload == body + "/" + result.shard.shard + "/" + std::to_string(answer.snapshot.value));
            covered += result.shard.range.size();
            ranges.push_back(result.shard.range);
        }
        for (const MissingShard& missing : answer.coverage.missing)
            ranges.push_back(missing.shard.range);
        // Requirement R2: covered and missing ranges together contain each key exactly once.
        std::sort(ranges.begin(), ranges.end(), [](const KeyRange& a, const KeyRange& b) { return a.begin < b.begin; });
        std::uint64_t position = 0;
        for (const KeyRange& range : ranges) {
            BOOST_TEST(range.begin == position);
            position = range.end;
        }
        BOOST_TEST(position == UINT64_MAX);
        const double fraction = static_cast<double>(covered) / static_cast<double>(UINT64_MAX);
        BOOST_TEST(answer.coverage.fraction == fraction, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(fraction >= (submitted.className == "search" ? 0.5 : 1.0) - 1e-9);
    }

    void checkEnd()
    {
        for (const auto& [body, submitted] : m_submitted) {
            BOOST_TEST_CONTEXT(body << " " << submitted.className)
            {
                BOOST_TEST((submitted.isAnswered || submitted.isDisconnected));
                // Requirement R4: a query refused as not run has not run on any server.
                BOOST_TEST((!submitted.isNotRun || submitted.ran == 0));
                if (submitted.className != "once")
                    continue;
                // Requirement R5: the query ran at most once, and the claim is settled with the true outcome.
                for (const auto& [shard, runs] : submitted.ranOn)
                    BOOST_TEST(runs <= 1);
                BOOST_TEST(submitted.settled == (submitted.mustSettle ? 1 : 0));
                BOOST_TEST((!submitted.isSettledNotRun || submitted.ran == 0));
            }
        }
        BOOST_TEST(m_entry.takeEffects<DrainComplete>().size() == 1U);
        BOOST_TEST(m_entry.reducer.metrics().attempts == 0U);
    }

    EntryHarness m_entry;
    Random m_random;
    std::uint64_t m_version = 1;
    std::map<std::string, SubmittedQuery> m_submitted;
    std::vector<SendSubquery> m_open;
    std::vector<SendSubquery> m_allSent;
    std::vector<RequestClaim> m_claims;
    std::set<ConnectionId> m_busy;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RandomFaultsSuite)

// Guards requirements R1 to R5 and R7 against combinations of faults that no single test covers.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        RandomFaults(seed).run(500);
    }
}

BOOST_AUTO_TEST_SUITE_END()
