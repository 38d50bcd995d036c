#include "policy/account_admission.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::policy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Instances that send requests of several accounts to one pool of servers, which takes 320 requests a second.
class Pool {
public:
    struct Source {
        AccountAdmission::Demand demand;
        double requestsPerSecond = 0;
    };

    struct Outcome {
        double sent = 0;
        double refused = 0;
        // Requests that waited for a slot for longer than a quarter of a latency objective of 400 ms.
        double late = 0;

        double lost() const { return sent == 0 ? 0 : (refused + late) / sent; }
        double served() const { return sent - refused; }
    };

    Pool(std::size_t instances, std::uint64_t seed)
        : m_random(seed)
        , m_admissions(instances)
    {
    }

    // Returns the outcomes by account and class of the requests that were sent in this time.
    std::map<std::pair<std::string, std::uint32_t>, Outcome> run(const std::vector<Source>& sources, Micros duration)
    {
        std::map<std::pair<std::string, std::uint32_t>, Outcome> outcomes;
        for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
            for (const Source& source : sources) {
                if (boost::random::uniform_real_distribution<double>(0, 1)(m_random) >= source.requestsPerSecond * std::chrono::duration<double>(kStep).count())
                    continue;
                AccountAdmission& admission = m_admissions[boost::random::uniform_int_distribution<std::size_t>(0, m_admissions.size() - 1)(m_random)];
                Outcome& outcome = outcomes[{ source.demand.account, source.demand.priority }];
                ++outcome.sent;
                if (!admission.tryAdmit(source.demand, m_now))
                    ++outcome.refused;
                else
                    m_waiting.push_back({ m_now, &admission, &outcome });
            }
            work();
        }
        // Outlives none of the outcomes.
        m_waiting.clear();
        return outcomes;
    }

private:
    struct Job {
        TimePoint sentAt;
        AccountAdmission* admission;
        Outcome* outcome;
    };

    void work()
    {
        while (!m_running.empty() && m_running.front().first <= m_now) {
            // One reply of each of 20 shards whose servers have about the same load.
            for (int n = 0; n < 20; ++n)
                m_running.front().second->recordLoad(static_cast<double>(m_running.size() + m_waiting.size()) / kSlots, m_now);
            m_running.front().second->recordEnd(m_now);
            m_running.pop_front();
        }
        for (; m_running.size() < kSlots && !m_waiting.empty(); m_waiting.pop_front()) {
            const Job& job = m_waiting.front();
            job.outcome->late += m_now - job.sentAt > milliseconds { 100 } ? 1 : 0;
            m_running.emplace_back(m_now + milliseconds { 50 }, job.admission);
        }
    }

    static constexpr milliseconds kStep { 1 };
    static constexpr std::size_t kSlots = 16;
    Random m_random;
    TimePoint m_now { seconds { 10 } };
    std::vector<AccountAdmission> m_admissions;
    std::deque<Job> m_waiting;
    std::deque<std::pair<TimePoint, AccountAdmission*>> m_running;
};

// Twenty small accounts with an urgent class, and a large one with both.
std::vector<Pool::Source> sources(double factorOfLarge)
{
    std::vector<Pool::Source> result;
    for (int n = 0; n < 20; ++n)
        result.push_back({ { fmt::format("small-{}", n), 1, 0 }, 4 });
    result.push_back({ { "large", 10, 0 }, 8 * factorOfLarge });
    result.push_back({ { "large", 10, 1 }, 40 * factorOfLarge });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AccountAdmissions)

// One account sends seven times its usual, and the servers take less than all send. Guards against others that lose requests to it,
// against urgent requests of the account that wait behind its bulk, and against room that nobody uses.
BOOST_AUTO_TEST_CASE(ABurstOfOneAccountCostsTheOthersLittle)
{
    for (const std::size_t instances : { 20u, 65u }) {
        Pool pool(instances, 5);
        pool.run(sources(1), seconds { 20 });
        pool.run(sources(7), seconds { 2 });
        Pool::Outcome small;
        auto outcomes = pool.run(sources(7), seconds { 20 });
        double served = 0;
        for (const auto& [key, outcome] : outcomes) {
            served += outcome.served();
            if (key.first == "large")
                continue;
            small.sent += outcome.sent;
            small.refused += outcome.refused;
            small.late += outcome.late;
        }
        const Pool::Outcome& urgent = outcomes[{ "large", 0 }];
        const Pool::Outcome& bulk = outcomes[{ "large", 1 }];
        BOOST_TEST_MESSAGE(fmt::format("{} instances: small lost {:.3f} (refused {}), urgent refused {:.3f}, bulk refused {:.3f}, served {:.1f}/s", instances, small.lost(), small.refused, urgent.refused / urgent.sent, bulk.refused / bulk.sent, served / 20));
        BOOST_TEST(small.lost() < 0.1);
        BOOST_TEST(urgent.refused / urgent.sent < bulk.refused / bulk.sent / 2);
        BOOST_TEST(served / 20 > 0.8 * 320);
    }
}

// Guards against refusals while there is room, and after a burst has ended.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWhileThereIsRoom)
{
    Pool pool(20, 6);
    const auto refused = [&](Micros duration) {
        double sum = 0;
        for (const auto& [key, outcome] : pool.run(sources(1), duration))
            sum += outcome.refused;
        return sum;
    };
    BOOST_TEST(refused(seconds { 60 }) == 0);
    pool.run(sources(7), seconds { 6 });
    refused(seconds { 3 });
    BOOST_TEST(refused(seconds { 30 }) == 0);
}

// Guards against refused callers that come back together.
BOOST_AUTO_TEST_CASE(ReturnsAreSpreadOverLongerTimesTheLessRoomThereIs)
{
    Random random(7);
    AccountAdmission admission;
    const TimePoint now { seconds { 10 } };
    const auto longest = [&] {
        Micros most { 0 };
        for (int n = 0; n < 200; ++n)
            most = std::max(most, admission.retryAfter(random));
        return most;
    };
    BOOST_TEST((longest() <= milliseconds { 250 }));
    admission.tryAdmit({ "a", 1, 0 }, now);
    for (int n = 0; n < 20; ++n)
        admission.recordLoad(3, now);
    admission.tryAdmit({ "a", 1, 0 }, now);
    BOOST_TEST(admission.room() < 0.5);
    BOOST_TEST((longest() > milliseconds { 1'000 }));
    BOOST_TEST((longest() <= milliseconds { 2'050 }));
}

BOOST_AUTO_TEST_SUITE_END()
