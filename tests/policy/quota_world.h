#pragma once

#include "core/random.h"
#include "policy/quota_credits.h"
#include "policy/quota_ledger.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::policy {

// Entry instances and a control leader in virtual time, with callers of accounts of very different size. Each account's callers are spread
// unevenly over the instances, and move to others every few seconds.
class QuotaWorld {
public:
    static constexpr std::size_t kInstances = 65;
    static constexpr std::size_t kAccounts = 75;
    static constexpr Micros kWindow { 5'000'000 };

    struct Account {
        AccountId id;
        double usual = 0;
        AccountQuota quota;
        // Demand as a multiple of the usual one.
        double factor = 1;
        std::deque<TimePoint> admitted;
        std::size_t admittedCount = 0;
        // What a single bucket for all instances would admit.
        double reference = 0;
        TimePoint referenceAt;
        std::size_t owed = 0;
        double worstExcess = -1e9;
    };

    struct Instance {
        std::optional<QuotaCredits> credits;
        bool isCutOff = false;
        bool isPaused = false;
        // Time for which its clock stood still.
        Micros lost { 0 };
        std::vector<std::function<void()>> delayed;
        // Process start and number of the report that awaits its reply.
        std::pair<std::uint64_t, std::uint64_t> pending;
    };

    QuotaWorld(std::uint64_t seed, double burstSeconds)
        : random(seed)
    {
        for (std::size_t n = 0; n < kAccounts; ++n) {
            Account account;
            account.id = accountIdOf("account-" + std::to_string(n));
            account.usual = n == 0 ? 12 : 0.1 * std::pow(16.0, static_cast<double>(n) / kAccounts);
            account.quota = { account.usual * 1.6, account.usual * 1.6 * burstSeconds };
            account.reference = account.quota.burst;
            account.referenceAt = now;
            accounts.push_back(account);
        }
        for (std::size_t n = 0; n < kInstances; ++n)
            start(n);
        elect();
        for (std::size_t n = 0; n < kInstances; ++n)
            watch(n);
        for (std::size_t n = 0; n < kAccounts; ++n)
            arrive(n);
        tick();
    }

    void run(double seconds)
    {
        const TimePoint until = now + Micros { static_cast<Micros::rep>(seconds * 1e6) };
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const auto next = m_events.extract(m_events.begin());
            now = next.key();
            next.mapped()();
        }
        now = until;
    }

    void at(double seconds, std::function<void()> action) { after(Micros { static_cast<Micros::rep>(seconds * 1e6) }, std::move(action)); }

    // Starts the process of an instance anew.
    void start(std::size_t n)
    {
        instances[n].pending = {};
        instances[n].credits.emplace(random());
        instances[n].credits->configure(quotas());
        instances[n].credits->setInstances(kInstances);
    }

    // A control instance begins to lead, with a ledger of its own.
    void elect()
    {
        ledger.emplace();
        ledger->configure(quotas(), now);
        ledger->beginTerm(now);
    }

    void setQuota(std::size_t n, double factor)
    {
        accounts[n].quota.requestsPerSecond *= factor;
        accounts[n].quota.burst *= factor;
        ledger->configure(quotas(), now);
        for (Instance& instance : instances)
            instance.credits->configure(quotas());
    }

    void pause(std::size_t n) { instances[n].isPaused = true; }

    void resume(std::size_t n, Micros lostTime)
    {
        Instance& instance = instances[n];
        instance.isPaused = false;
        instance.lost += lostTime;
        if (lostTime.count() > 0)
            instance.credits->onSuspended(clock(n));
        for (const std::function<void()>& action : std::exchange(instance.delayed, {}))
            action();
    }

    double servedPart(std::size_t first, std::size_t end) const
    {
        std::size_t served = 0;
        std::size_t owed = 0;
        for (std::size_t n = first; n < end; ++n) {
            served += std::min(accounts[n].admittedCount, accounts[n].owed);
            owed += accounts[n].owed;
        }
        return static_cast<double>(served) / static_cast<double>(owed);
    }

    // Returns by how much the requests of any account exceeded the bound in any window.
    double worstExcess() const
    {
        return std::max_element(accounts.begin(), accounts.end(), [](const Account& a, const Account& b) { return a.worstExcess < b.worstExcess; })->worstExcess;
    }

    void beginMeasurement()
    {
        for (Account& account : accounts)
            account.admittedCount = account.owed = 0;
    }

    TimePoint now { Micros { 1'000'000 } };
    Random random;
    std::vector<Account> accounts;
    std::array<Instance, kInstances> instances;
    std::optional<QuotaLedger> ledger;
    std::size_t messages = 0;

private:
    AccountQuotas quotas() const
    {
        AccountQuotas all;
        for (const Account& account : accounts)
            all[account.id] = account.quota;
        return all;
    }

    TimePoint clock(std::size_t n) const { return now - instances[n].lost; }
    Micros delay() { return Micros { boost::random::uniform_int_distribution<Micros::rep>(5'000, 35'000)(random) }; }
    void after(Micros duration, std::function<void()> action) { m_events.emplace(now + duration, std::move(action)); }

    // Runs the action on the instance now, or once the instance is no longer paused.
    void onInstance(std::size_t n, std::function<void()> action)
    {
        if (instances[n].isPaused)
            instances[n].delayed.push_back(std::move(action));
        else
            action();
    }

    void arrive(std::size_t n)
    {
        Account& account = accounts[n];
        const double rate = account.usual * account.factor;
        after(Micros { static_cast<Micros::rep>(boost::random::exponential_distribution<double>(rate)(random) * 1e6) }, [this, n] {
            // Squaring prefers some instances; the first one moves with time.
            const double position = boost::random::uniform_real_distribution<double>(0, 1)(random);
            const std::size_t shift = static_cast<std::size_t>(now.time_since_epoch() / std::chrono::seconds { 7 }) * 11 + n * 5;
            const std::size_t instance = (static_cast<std::size_t>(position * position * kInstances) + shift) % kInstances;
            owe(accounts[n]);
            onInstance(instance, [this, n, instance] { request(n, instance); });
            arrive(n);
        });
    }

    void owe(Account& account) const
    {
        const double elapsed = std::chrono::duration<double>(now - account.referenceAt).count();
        account.reference = std::min(std::max(1.0, account.quota.burst), account.reference + elapsed * account.quota.requestsPerSecond);
        account.referenceAt = now;
        if (account.reference < 1)
            return;
        account.reference -= 1;
        ++account.owed;
    }

    void request(std::size_t n, std::size_t instance)
    {
        Account& account = accounts[n];
        if (instances[instance].credits->tryAcquire(account.id, clock(instance))) {
            ++account.admittedCount;
            account.admitted.push_back(now);
            while (account.admitted.front() + kWindow < now)
                account.admitted.pop_front();
            const double bound = (account.quota.requestsPerSecond * 5 + account.quota.burst) * 1.1 + 20;
            account.worstExcess = std::max(account.worstExcess, static_cast<double>(account.admitted.size()) - bound);
        }
        report(instance);
    }

    void report(std::size_t n)
    {
        const std::optional<QuotaReport> report = instances[n].credits->nextReport(clock(n));
        if (!report)
            return;
        ++messages;
        instances[n].pending = { report->processStart, report->number };
        after(Micros { 500'000 }, [this, n, sent = instances[n].pending] { onInstance(n, [this, n, sent] { finish(n, sent, std::nullopt); }); });
        after(delay(), [this, n, report = *report, sent = instances[n].pending] {
            if (!ledger || instances[n].isCutOff)
                return;
            const std::uint64_t revision = ledger->limitRevision();
            const QuotaReply reply = ledger->handle(report, now);
            after(delay(), [this, n, reply, sent] { onInstance(n, [this, n, reply, sent] { finish(n, sent, reply); }); });
            for (std::size_t other = 0; revision != ledger->limitRevision() && other < kInstances; ++other)
                push(other);
        });
    }

    // Ends the exchange that an instance began, unless it has ended or the process was started anew.
    void finish(std::size_t n, std::pair<std::uint64_t, std::uint64_t> sent, const std::optional<QuotaReply>& reply)
    {
        Instance& instance = instances[n];
        if (instance.pending != sent || (reply && instance.isCutOff))
            return;
        instance.pending = {};
        if (reply)
            instance.credits->onReply(*reply, clock(n));
        else
            instance.credits->onNoReply(clock(n));
        report(n);
    }

    // Tells an instance which accounts are limited.
    void push(std::size_t n)
    {
        if (!ledger || instances[n].isCutOff)
            return;
        after(delay(), [this, n, limited = std::vector<AccountId>(ledger->limited().begin(), ledger->limited().end())] {
            onInstance(n, [this, n, limited] { instances[n].credits->onLimited(limited, clock(n)); });
        });
    }

    void watch(std::size_t n)
    {
        push(n);
        after(Micros { 250'000 }, [this, n] { watch(n); });
    }

    void tick()
    {
        if (ledger)
            ledger->update(now);
        for (std::size_t n = 0; n < kInstances; ++n) {
            if (instances[n].isPaused)
                continue;
            instances[n].credits->update(clock(n));
            report(n);
        }
        after(Micros { 50'000 }, [this] { tick(); });
    }

    std::multimap<TimePoint, std::function<void()>> m_events;
};

} // namespace curranttrail::policy
