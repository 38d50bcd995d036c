#include "core/random.h"
#include "policy/suspension_detector.h"
#include "routing/router.h"
#include "tests/core/take_effects.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <utility>

using namespace curranttrail;
using namespace curranttrail::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Micros kLimit { 5'000'000 };
constexpr Micros kStep { 10'000 };

enum class Fault {
    Freeze,
    Suspension,
    Cut,
    LostLeader,
    Restart,
    // Some replies to watch requests are delayed by seconds, at any time.
    HeldReplies,
};

// A control group, its operator, one gateway and a caller with one key, in virtual time. The operator withdraws the key and restores it.
class KeyWorld {
public:
    KeyWorld(std::uint64_t seed, std::vector<Fault> faults)
        : m_random(seed)
        , m_faults(std::move(faults))
        , m_holdsReplies(std::erase(m_faults, Fault::HeldReplies) > 0)
    {
        restart();
    }

    void run(Micros duration)
    {
        for (const TimePoint end = m_time + duration; m_time < end; m_time += kStep) {
            operate();
            if (!m_faults.empty() && !m_faultUntil && chance(300))
                begin(m_faults[static_cast<std::size_t>(pick(0, static_cast<int>(m_faults.size()) - 1))]);
            if (m_faultUntil && m_time >= *m_faultUntil)
                m_faultUntil.reset();
            if (m_time >= m_cutUntil)
                carry();
            m_callers.push_back(m_time);
            if (m_time >= m_pausedUntil)
                runGateway();
        }
    }

    std::size_t admitted = 0;
    std::size_t unconfirmed = 0;
    // Requests that were sent later than the limit after the withdrawal of their key, and those of them that were admitted.
    std::size_t late = 0;
    std::size_t lateAdmitted = 0;
    // Longest time after a withdrawal for which requests were admitted.
    Micros longest { 0 };

private:
    // A watch request, from its sending to its reply.
    struct Watch {
        TimePoint sentAt;
        TimePoint viewedAt;
        TimePoint repliedAt;
        std::optional<std::uint64_t> version;
        bool isViewed = false;
    };

    int pick(int minimum, int maximum) { return boost::random::uniform_int_distribution<int>(minimum, maximum)(m_random); }
    bool chance(int steps) { return pick(1, steps) == 1; }
    bool hasLeader() const { return m_time >= m_leaderlessUntil; }
    TimePoint steadyTime() const { return m_time - m_suspended; }

    // An odd version holds the key.
    void operate()
    {
        if (!hasLeader() || !chance(m_withdrawnAt ? 900 : 400))
            return;
        ++m_version;
        m_withdrawnAt = m_withdrawnAt ? std::nullopt : std::optional<TimePoint> { m_time };
    }

    void begin(Fault fault)
    {
        const Micros duration = milliseconds { pick(20, fault == Fault::LostLeader ? 3'000 : 9'000) };
        m_faultUntil = m_time + duration + seconds { 1 };
        if (fault == Fault::Restart)
            restart();
        else if (fault == Fault::Cut)
            m_cutUntil = m_time + duration;
        else if (fault == Fault::LostLeader)
            m_leaderlessUntil = m_time + duration;
        else
            m_pausedUntil = m_time + duration;
        if (fault == Fault::Suspension)
            m_suspended += duration;
    }

    void restart()
    {
        RouterOptions options { "gateway-1", "dc-a", 7, {} };
        options.keyRevocationLimit = kLimit;
        m_router = std::make_unique<Router>(options);
        m_suspension = {};
        m_watch.reset();
        look();
    }

    // Carries the watch request to the leader and the reply back. What a cut holds up arrives after it.
    void carry()
    {
        if (m_watch && !m_watch->isViewed && m_time >= m_watch->viewedAt) {
            m_watch->isViewed = true;
            m_watch->version = hasLeader() ? std::optional<std::uint64_t> { m_version } : std::nullopt;
            m_watch->repliedAt = m_time + milliseconds { m_holdsReplies && chance(20) ? pick(0, 4'000) : pick(1, 20) };
        }
        m_hasReplied = m_watch && m_watch->isViewed && m_time >= m_watch->repliedAt;
    }

    Micros look() { return m_suspension.observe({ steadyTime(), m_time, steadyTime() }).value(); }

    std::vector<Effect> handle(const Event& event)
    {
        if (const Micros duration = look(); duration.count() > 0)
            m_router->handle(ProcessSuspended { duration }, steadyTime());
        return m_router->handle(event, steadyTime());
    }

    void runGateway()
    {
        // Requests that arrived during a pause are read before or after the reply.
        const bool readsReplyFirst = chance(2);
        if (readsReplyFirst)
            readReply();
        for (; !m_callers.empty(); m_callers.pop_front())
            ask(m_callers.front());
        if (!readsReplyFirst)
            readReply();
        if (!m_watch) {
            m_watch.emplace();
            m_watch->sentAt = m_time;
            m_watch->viewedAt = m_time + milliseconds { pick(1, 250) };
        }
    }

    void readReply()
    {
        if (!std::exchange(m_hasReplied, false))
            return;
        const Watch watch = *std::exchange(m_watch, std::nullopt);
        if (!watch.version)
            return;
        std::shared_ptr<RouteDocument> document = std::make_shared<RouteDocument>();
        document->version = *watch.version;
        document->collections["orders"] = { "orders", 100 };
        document->routes.push_back({ "order", "site", "/order/", true, seconds { 2 }, milliseconds { 400 }, 2, 2, SingleTarget { "orders" } });
        document->accounts.emplace();
        if (document->version % 2 == 1)
            document->accounts->push_back({ "counter", { KeyDigest("k-1") } });
        handle(RouteDocumentUpdated { document });
        handle(ControlContacted { Micros { 0 }, m_suspension.unsuspended(watch.sentAt) });
    }

    // No server is listed, so a request that is admitted is refused for that reason.
    void ask(TimePoint sentAt)
    {
        RequestArrived event { { ++m_lastKey }, "id", "site", "/order/x" };
        event.keyDigest.emplace("k-1");
        std::vector<Effect> effects = handle(event);
        const RefusalReason reason = tests::takeEffects<RefuseRequest>(effects).at(0).reason;
        const bool isAdmitted = reason == RefusalReason::NoServer;
        const bool isLate = m_withdrawnAt && sentAt > *m_withdrawnAt + kLimit;
        admitted += isAdmitted ? 1 : 0;
        unconfirmed += reason == RefusalReason::KeyUnconfirmed ? 1 : 0;
        late += isLate ? 1 : 0;
        lateAdmitted += isLate && isAdmitted ? 1 : 0;
        if (isAdmitted && m_withdrawnAt)
            longest = std::max(longest, sentAt - *m_withdrawnAt);
    }

    Random m_random;
    std::vector<Fault> m_faults;
    const bool m_holdsReplies;
    TimePoint m_time { seconds { 100 } };
    Micros m_suspended { 0 };
    std::optional<TimePoint> m_faultUntil;
    TimePoint m_pausedUntil;
    TimePoint m_cutUntil;
    TimePoint m_leaderlessUntil;
    std::uint64_t m_version = 1;
    std::optional<TimePoint> m_withdrawnAt;
    std::optional<Watch> m_watch;
    bool m_hasReplied = false;
    std::deque<TimePoint> m_callers;
    policy::SuspensionDetector m_suspension;
    std::unique_ptr<Router> m_router;
    std::uint64_t m_lastKey = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeyLeases)

// The gateway freezes, is suspended, loses its links, its control leader or its memory while a key is withdrawn. Guards against a request
// that is admitted although it was sent later than the limit after that.
BOOST_AUTO_TEST_CASE(AWithdrawnKeyIsAdmittedNowhereAfterTheLimit)
{
    std::size_t late = 0;
    std::size_t unconfirmed = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        KeyWorld world(seed, { Fault::Freeze, Fault::Suspension, Fault::Cut, Fault::LostLeader, Fault::Restart, Fault::HeldReplies });
        world.run(seconds { 120 });
        BOOST_TEST(world.lateAdmitted == 0u, "seed " << seed << " admits " << world.lateAdmitted);
        late += world.late;
        unconfirmed += world.unconfirmed;
    }
    BOOST_TEST(late > 0u);
    BOOST_TEST(unconfirmed > 0u);
}

// Guards against an election that has every request refused, and against a key that is admitted for long where control can be reached.
BOOST_AUTO_TEST_CASE(TheLeaseOutlastsAnElection)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        KeyWorld calm(seed, {});
        calm.run(seconds { 60 });
        BOOST_TEST(calm.unconfirmed == 0u);
        KeyWorld world(seed, { Fault::LostLeader });
        world.run(seconds { 120 });
        BOOST_TEST(world.unconfirmed == 0u, "seed " << seed << " refuses " << world.unconfirmed);
        BOOST_TEST(world.admitted > 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
