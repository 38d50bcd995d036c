#include "core/not_run_status.h"
#include "main/query_json.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;

BOOST_AUTO_TEST_SUITE(QueryJson)

// Guards against a caller that repeats a query that has run, because its refusal bears a status that promises otherwise.
BOOST_AUTO_TEST_CASE(ARefusalPromisesOnlyWhatIsCertain)
{
    for (const auto& [reason, reasonName] : query::kRefusalReasonNames) {
        for (const auto& [verdict, verdictName] : kVerdictNames) {
            query::SendRefusal refusal;
            refusal.reason = reason;
            refusal.verdict = verdict;
            const unsigned status = refusalResponse(refusal).status;
            BOOST_TEST((verdict == Verdict::NotRun || !promisesNotRun(status)), reasonName << ", " << verdictName << ": " << status);
        }
    }
    query::SendRefusal refusal;
    refusal.reason = query::RefusalReason::NoServers;
    refusal.verdict = Verdict::NotRun;
    BOOST_TEST(refusalResponse(refusal).status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
