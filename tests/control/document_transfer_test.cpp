#include "control/document_transfer.h"
#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

struct Source {
    Source(std::uint64_t number, std::size_t bytes)
        : version(number)
    {
        for (std::size_t n = 0; n < bytes; ++n)
            content += static_cast<char>('a' + (n * 7 + number) % 26);
    }

    DocumentPart part(const DocumentPartRequest& request) const { return documentPart(version, content, digestOf(content), request.offset); }

    std::uint64_t version = 0;
    std::string content;
};

bool isRefused(const DocumentTransfer::Result& result) { return std::holds_alternative<DocumentTransfer::Refused>(result); }

// Fetches from a source until the document is complete. Returns its content, or an empty string.
std::string fetchAll(DocumentTransfer& transfer, const Source& source)
{
    for (std::size_t n = 0; n <= source.content.size() / kDocumentPartBytes; ++n) {
        const DocumentTransfer::Result result = transfer.take(source.part(transfer.nextRequest()));
        if (const DocumentTransfer::Document* document = std::get_if<DocumentTransfer::Document>(&result))
            return document->content;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentTransfers)

// Guards against a large document that is sent from the start again whenever a connection to a control instance ends.
BOOST_AUTO_TEST_CASE(ATransferContinuesAtAnotherInstance)
{
    const Source source(7, 1'400'000);
    DocumentTransfer transfer;
    transfer.announce(7);
    for (int n = 0; n < 6; ++n)
        BOOST_TEST(!isRefused(transfer.take(source.part(transfer.nextRequest()))));
    BOOST_TEST(transfer.nextRequest().offset == 6 * kDocumentPartBytes);
    BOOST_TEST((fetchAll(transfer, source) == source.content));
    BOOST_TEST(!transfer.isNeeded());
}

// Guards against changes that come faster than a document can be transferred and keep every document from arriving.
BOOST_AUTO_TEST_CASE(ADocumentThatHasBegunIsCompletedBeforeANewerOne)
{
    const Source first(7, 300'000);
    const Source second(9, 310'000);
    DocumentTransfer transfer;
    transfer.announce(7);
    BOOST_TEST(!isRefused(transfer.take(first.part(transfer.nextRequest()))));
    transfer.announce(9);
    BOOST_TEST(transfer.nextRequest().version == 7u);
    BOOST_TEST((fetchAll(transfer, first) == first.content));
    BOOST_TEST(transfer.isNeeded());
    BOOST_TEST((fetchAll(transfer, second) == second.content));
    BOOST_TEST(transfer.received() == 9u);
    BOOST_TEST(isRefused(transfer.take(first.part({ 7, 0 }))));
}

// Guards against a document that is put together from parts of different documents.
BOOST_AUTO_TEST_CASE(PartsThatDoNotFitAreRefused)
{
    const Source source(3, 200'000);
    DocumentTransfer transfer;
    transfer.announce(3);
    BOOST_TEST(isRefused(transfer.take(DocumentPart {})));
    BOOST_TEST(isRefused(transfer.take(source.part({ 3, kDocumentPartBytes }))));
    BOOST_TEST(!isRefused(transfer.take(source.part({ 3, 0 }))));
    BOOST_TEST(isRefused(transfer.take(source.part({ 3, 0 }))));
    DocumentPart damaged = source.part(transfer.nextRequest());
    damaged.content.back() ^= 1;
    BOOST_TEST(isRefused(transfer.take(damaged)));
    BOOST_TEST(transfer.nextRequest().offset == 0u);
    BOOST_TEST((fetchAll(transfer, source) == source.content));
    DocumentPart huge = Source(4, 10).part({ 4, 0 });
    huge.documentBytes = kMaximumDocumentBytes + 1;
    BOOST_TEST(isRefused(transfer.take(huge)));
}

BOOST_AUTO_TEST_SUITE_END()
