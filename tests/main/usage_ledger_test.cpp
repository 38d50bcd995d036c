#include "main/usage_journal.h"
#include "main/usage_ledger.h"
#include "tests/stand_ins/temporary_folder.h"
#include "usage/recorder.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <future>

using namespace curranttrail;

namespace {

usage::PrivateKey keyOf(std::uint8_t seed)
{
    std::array<std::uint8_t, 32> bytes {};
    bytes[0] = seed;
    return usage::PrivateKey::fromSeed(bytes);
}

// Returns a batch with one record of an instance, as its recorder sends it.
usage::Batch batchOf(std::uint64_t subqueries)
{
    usage::RecorderOptions options { "nile-e1", 1, keyOf(1), { "nile" } };
    usage::Recorder recorder(options);
    TimePoint now {};
    recorder.handle(usage::UsageObserved { { "nile", "stone", "safety" }, { subqueries, 10, 20 }, 1'000 }, now);
    for (int step = 0; step < 100; ++step) {
        now += Micros { 100'000 };
        for (const usage::RecorderEffect& effect : recorder.handle(usage::RecorderTick { 2'000 + step * 100 }, now)) {
            const usage::SendBatch* send = std::get_if<usage::SendBatch>(&effect);
            if (send && !send->batch.records.empty())
                return send->batch;
        }
    }
    throw std::runtime_error("the recorder sent no records");
}

struct Service {
    explicit Service(const std::string& folder)
        : ledger({ "nile-c1", "nile", keyOf(9), { { "nile-e1", keyOf(1).publicKey() } }, {} }, storage::makePosixFileSystem(folder), sink,
            [](const InstanceName&, const std::string&) {})
    {
        ledger.start();
    }

    std::string ship(const usage::Batch& batch)
    {
        std::promise<std::string> promise;
        ledger.ship(usage::encode(batch), [&promise](std::string answer) { promise.set_value(std::move(answer)); });
        return promise.get_future().get();
    }

    usage::BillableUnits total()
    {
        std::promise<usage::BillableUnits> promise;
        ledger.view([&promise](const usage::Ledger& state, UsageJournal&) {
            promise.set_value(state.bill().empty() ? usage::BillableUnits {} : state.bill().begin()->second);
        });
        return promise.get_future().get();
    }

    transport::EventSink sink { { "nile-c1", Severity::Information, 64, nullptr } };
    UsageLedger ledger;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UsageLedgers)

// Guards against records that are counted twice when they are resent, or that are lost at a restart although acknowledged.
BOOST_AUTO_TEST_CASE(AcknowledgedRecordsSurviveARestartAndCountOnce)
{
    const stand_ins::TemporaryFolder folder;
    const usage::Batch batch = batchOf(5);
    for (int start = 0; start < 2; ++start) {
        Service service(folder.path().string());
        for (int repetition = 0; repetition < 2; ++repetition) {
            const std::optional<usage::Acknowledgement> acknowledgement = usage::decodeAcknowledgement(service.ship(batch));
            BOOST_REQUIRE(acknowledgement.has_value());
            BOOST_TEST(acknowledgement->number == 1U);
        }
        BOOST_TEST(service.total().subqueries == 5U);
    }
}

// Guards against an incomplete last record that prevents a start, and against earlier damage that is truncated
// as if it were the end.
BOOST_AUTO_TEST_CASE(AnIncompleteLastRecordIsTruncatedAndOtherDamageIsRefused)
{
    const stand_ins::TemporaryFolder folder;
    const std::string file = (folder.path() / "usage-1").string();
    {
        Service service(folder.path().string());
        service.ship(batchOf(5));
    }
    const std::uintmax_t size = std::filesystem::file_size(file);
    std::ofstream(file, std::ios::app | std::ios::binary) << "torn";
    {
        Service service(folder.path().string());
        BOOST_TEST(service.total().subqueries == 5U);
    }
    BOOST_TEST(std::filesystem::file_size(file) == size);
    std::fstream(file, std::ios::in | std::ios::out | std::ios::binary).seekp(20).put('x');
    BOOST_CHECK_THROW(Service { folder.path().string() }, std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
