#include "core/random.h"
#include "usage/events.h"
#include "usage/ledger_state.h"
#include "usage/messages.h"
#include "usage/recorder.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace curranttrail;
using namespace curranttrail::usage;
namespace data = boost::unit_test::data;

namespace {

PrivateKey testKey()
{
    return PrivateKey::fromSeed(sha256("encoding"));
}

Batch fullBatch()
{
    Batch batch;
    batch.chain = { "entry-1", 7 };
    Record record;
    record.chain = batch.chain;
    record.number = 3;
    record.key = { "nile", "stone", "safety" };
    record.units = { 1, 2, 3 };
    for (int n = 0; n < 4; ++n)
        batch.records.push_back(signRecord(record, testKey()));
    batch.gaps.push_back(signGapNotice({ batch.chain, 1, 2 }, testKey()));
    batch.head = signHead({ batch.chain, 3 }, testKey());
    return batch;
}

std::vector<std::string> samples()
{
    LedgerHeads heads { "nile-control", 4, { { { "entry-1", 7 }, 3, {}, { 1, 2, 3 } } } };
    sign(heads, testKey());
    CounterSignature counter { "stone-control", digestOf(heads), { 0 } };
    sign(counter, testKey());
    const Batch batch = fullBatch();
    LedgerCheckpoint checkpoint;
    checkpoint.chains.push_back({ batch.chain, {} });
    checkpoint.bill.push_back({ { "nile", "stone", "safety" }, { 1, 2, 3 } });
    return { encode(batch), encode(Acknowledgement { batch.chain, 3 }), encode(LedgerMessage { heads }), encode(LedgerMessage { counter }),
        encode(LedgerMessage { RangeRequest { batch.chain, 1, 2 } }), encode(LedgerMessage { RangeReply { batch.chain, 3, batch.records } }),
        encode(JournalEntry { batch.records.front() }), encode(JournalEntry { batch.gaps.front() }), encode(JournalEntry { batch.head }),
        encode(JournalEntry { CounterSignedHeads { heads, counter } }), encode(checkpoint) };
}

// Returns the number of decoders that accept the bytes. Accepted content must encode to the same number of bytes.
int decodeAll(const std::string& bytes)
{
    int accepted = 0;
    const auto check = [&](const auto& decoded) {
        if (!decoded)
            return;
        ++accepted;
        BOOST_TEST_REQUIRE(encode(*decoded).size() == bytes.size());
    };
    check(decodeBatch(bytes));
    check(decodeAcknowledgement(bytes));
    check(decodeLedgerMessage(bytes));
    check(decodeJournalEntry(bytes));
    check(decodeLedgerCheckpoint(bytes));
    return accepted;
}

std::size_t draw(Random& random, std::size_t highest)
{
    return boost::random::uniform_int_distribution<std::size_t> { 0, highest }(random);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Encoding)

// Guards against encodings that their decoder rejects, and against decoders that accept another format version or trailing bytes.
BOOST_AUTO_TEST_CASE(EncodedMessagesRoundTrip)
{
    for (const std::string& bytes : samples()) {
        BOOST_TEST(decodeAll(bytes) >= 1);
        std::string other = bytes;
        other[1] = static_cast<char>(kFormatVersion + 1);
        BOOST_TEST(decodeAll(other) == 0);
        BOOST_TEST(decodeAll(bytes + "x") == 0);
    }
}

// Guards against malformed input that crashes a decoder or makes it allocate memory without bound.
BOOST_DATA_TEST_CASE(MalformedInputIsHarmless, data::xrange(1, 5), seed)
{
    Random random(static_cast<std::uint64_t>(seed));
    const std::vector<std::string> valid = samples();
    for (int n = 0; n < 5'000; ++n) {
        std::string noise(draw(random, 600), '\0');
        for (char& byte : noise)
            byte = static_cast<char>(draw(random, 255));
        if (noise.size() > 1) {
            noise[0] = 1;
            noise[1] = static_cast<char>(kFormatVersion);
        }
        decodeAll(noise);
        std::string sample = valid[draw(random, valid.size() - 1)];
        decodeAll(sample.substr(0, draw(random, sample.size() - 1)));
        for (std::size_t flips = 1 + draw(random, 2); flips > 0; --flips)
            sample[1 + draw(random, sample.size() - 2)] ^= static_cast<char>(1U << draw(random, 7));
        decodeAll(sample);
    }
}

// Guards against keys that change when written and read as PEM, and against signatures that verify for another message or key.
BOOST_AUTO_TEST_CASE(KeysRoundTripThroughPem)
{
    const PrivateKey key = PrivateKey::generate();
    const std::optional<PrivateKey> loaded = PrivateKey::fromPem(key.toPem());
    const std::optional<PublicKey> publicKey = PublicKey::fromPem(key.publicKey().toPem());
    BOOST_REQUIRE(loaded.has_value());
    BOOST_REQUIRE(publicKey.has_value());
    const Signature signature = loaded->sign("message");
    BOOST_TEST(publicKey->verify("message", signature));
    BOOST_TEST(!publicKey->verify("massage", signature));
    BOOST_TEST(!PrivateKey::generate().publicKey().verify("message", signature));
    BOOST_TEST(!PrivateKey::fromPem("nonsense").has_value());
    BOOST_TEST(!PublicKey::fromPem(key.toPem()).has_value());
}

// Guards against a signature of one content type that is valid for another.
BOOST_AUTO_TEST_CASE(HashesDependOnTheContentType)
{
    Record record;
    record.chain = { "entry-1", 1 };
    const Hash hash = hashOf(record);
    record.units.bytes = 1;
    BOOST_TEST((hashOf(record) != hash));
    BOOST_TEST((hashOf(Head { record.chain }) != hashOf(GapNotice { record.chain })));
}

// Guards against event numbers that are used twice or lie outside the range of the usage component.
BOOST_AUTO_TEST_CASE(EventNumbersAreUnique)
{
    std::set<std::uint16_t> numbers;
    for (const EventDescription* event : events::kCatalogue) {
        BOOST_TEST(numbers.insert(event->number).second);
        BOOST_TEST((event->number >= 5'000 && event->number < 6'000));
    }
}

BOOST_AUTO_TEST_SUITE_END()
