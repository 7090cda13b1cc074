/* Embeds the installed library and submits one request while no catalogue is
 * loaded; the answer must be not_run, with reason no_catalogue. */
#include "lavenderrail.h"

static int
check_answer(const LrAnswer *answer)
{
    bool expected = answer->outcome == LR_OUTCOME_NOT_RUN &&
                    answer->reason == LR_REASON_NO_CATALOGUE;
    return expected ? 0 : 1;
}

int
main(void)
{
    LrEngineConfig config = {.zone = LrStr_FromC("z"),
                             .policy = &LrSelectionPolicy_EstimatedLatency};
    LrEngine *engine = LrEngine_New(&config);
    LrRequest request = {.entry = LrStr_FromC("entry")};
    LrAction action;
    int status = 2;
    LrEngine_Submit(engine, LR_SECOND, &request);
    while (LrEngine_NextAction(engine, &action)) {
        if (action.kind == LR_ACTION_ANSWER) {
            status = check_answer(action.answer);
            LrAnswer_Free(action.answer);
        }
    }
    LrEngine_Free(engine);
    return status;
}
