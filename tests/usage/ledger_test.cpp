#include "tests/usage/usage_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::usage;
using namespace curranttrail::usage::fakes;

namespace {

const ChainId kChain { "entry-0", 1 };

Record nextRecord(const Record* before)
{
    Record record;
    record.chain = kChain;
    record.number = before ? before->number + 1 : 1;
    record.previous = before ? hashOf(*before) : Hash {};
    record.key = { "nile", "stone", "safety" };
    record.units = { 1, 2, 3 };
    return record;
}

Ledger makeLedger(const std::string& name)
{
    LedgerOptions options { name, "nile", UsageSimulation::keyOf(name) };
    options.instanceKeys.emplace("entry-0", UsageSimulation::keyOf("entry-0").publicKey());
    options.peers.emplace("peer", LedgerPeer { "stone", UsageSimulation::keyOf("peer").publicKey() });
    return Ledger(options);
}

// Sends a batch to the ledger. Returns the number of persisted records and of rejections.
std::pair<std::size_t, std::uint64_t> sendRecords(Ledger& ledger, const std::vector<SignedRecord>& records, const PrivateKey& headKey)
{
    const std::uint64_t rejected = ledger.rejected();
    std::size_t persisted = 0;
    for (const LedgerEffect& effect : ledger.handle(BatchReceived { { kChain, {}, records, signHead({ kChain }, headKey) } }, TimePoint { 1s })) {
        if (const PersistEntries* persist = std::get_if<PersistEntries>(&effect)) {
            for (const JournalEntry& entry : persist->entries)
                persisted += std::holds_alternative<SignedRecord>(entry) ? 1 : 0;
        }
    }
    return { persisted, ledger.rejected() - rejected };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LedgerChecks)

// Guards against records that the instance did not sign, that do not match the hash of the previous record, or whose number is
// already used.
BOOST_AUTO_TEST_CASE(InvalidRecordsAreRejected)
{
    const PrivateKey key = UsageSimulation::keyOf("entry-0");
    const PrivateKey other = UsageSimulation::keyOf("somebody else");
    Ledger ledger = makeLedger("control");
    const Record first = nextRecord(nullptr);
    const Record second = nextRecord(&first);
    Record broken = second;
    broken.previous[0] ^= 1;
    using Result = std::pair<std::size_t, std::uint64_t>;
    BOOST_TEST((sendRecords(ledger, { signRecord(first, key) }, other) == Result { 0, 1 }));
    BOOST_TEST((sendRecords(ledger, { signRecord(first, other) }, key) == Result { 0, 1 }));
    BOOST_TEST((sendRecords(ledger, { signRecord(first, key) }, key) == Result { 1, 0 }));
    BOOST_TEST((sendRecords(ledger, { signRecord(broken, key) }, key) == Result { 0, 1 }));
    BOOST_TEST((sendRecords(ledger, { signRecord(second, key), signRecord(first, key), signRecord(second, key) }, key) == Result { 1, 0 }));
    BOOST_TEST(ledger.bill().at(first.key).subqueries == 2);
}

// Guards against acknowledging records that a crash can still lose.
BOOST_AUTO_TEST_CASE(OnlyPersistedRecordsAreAcknowledged)
{
    const PrivateKey key = UsageSimulation::keyOf("entry-0");
    Ledger ledger = makeLedger("control");
    const Batch batch { kChain, {}, { signRecord(nextRecord(nullptr), key) }, signHead({ kChain }, key) };
    const auto acknowledged = [&ledger](const LedgerEvent& event) {
        std::uint64_t number = 0;
        for (const LedgerEffect& effect : ledger.handle(event, TimePoint { 1s })) {
            if (const Acknowledge* acknowledge = std::get_if<Acknowledge>(&effect))
                number = std::max(number, acknowledge->acknowledgement.number);
        }
        return number;
    };
    BOOST_TEST(acknowledged(BatchReceived { batch }) == 0);
    BOOST_TEST(acknowledged(BatchReceived { batch }) == 0);
    BOOST_TEST(acknowledged(EntriesPersisted { 1 }) == 1);
    BOOST_TEST(acknowledged(BatchReceived { batch }) == 1);
}

// Guards against out-of-order records that are lost, and against an unbounded reorder buffer.
BOOST_AUTO_TEST_CASE(OutOfOrderBufferIsBounded)
{
    const PrivateKey key = UsageSimulation::keyOf("entry-0");
    Ledger ledger = makeLedger("control");
    std::vector<Record> records { nextRecord(nullptr) };
    while (records.size() < Ledger::kMaximumBufferedRecords + 10)
        records.push_back(nextRecord(&records.back()));
    for (std::size_t n = records.size() - 1; n > 0; --n)
        BOOST_TEST(sendRecords(ledger, { signRecord(records[n], key) }, key).first == 0);
    // The buffer holds the records that arrived first, which have the highest numbers. The others must be sent again.
    BOOST_TEST(sendRecords(ledger, { signRecord(records[0], key) }, key).first == 1);
    std::vector<SignedRecord> again;
    for (std::size_t n = 1; n < 10; ++n)
        again.push_back(signRecord(records[n], key));
    BOOST_TEST(sendRecords(ledger, again, key).first == records.size() - 1);
}

// Guards against counter-signing a head whose hash differs or is not persisted.
BOOST_AUTO_TEST_CASE(OnlyEqualHeadsAreCounterSigned)
{
    const PrivateKey key = UsageSimulation::keyOf("entry-0");
    Ledger ledger = makeLedger("control");
    const Record first = nextRecord(nullptr);
    sendRecords(ledger, { signRecord(first, key) }, key);
    const auto counterSignatureCount = [&](const Hash& hash, const PrivateKey& peerKey) {
        LedgerHeads heads { "peer", 1, { { kChain, 1, hash, first.units } } };
        sign(heads, peerKey);
        std::size_t count = 0;
        for (const LedgerEffect& effect : ledger.handle(LedgerMessageReceived { "peer", heads }, TimePoint { 1s })) {
            const SendToLedger* send = std::get_if<SendToLedger>(&effect);
            count += send && std::holds_alternative<CounterSignature>(send->message) ? 1 : 0;
        }
        return count;
    };
    const PrivateKey peerKey = UsageSimulation::keyOf("peer");
    BOOST_TEST(counterSignatureCount(hashOf(first), peerKey) == 0);
    ledger.handle(EntriesPersisted { 1 }, TimePoint { 1s });
    BOOST_TEST(counterSignatureCount(Hash {}, peerKey) == 0);
    BOOST_TEST(counterSignatureCount(hashOf(first), key) == 0);
    BOOST_TEST(counterSignatureCount(hashOf(first), peerKey) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
