/* Bytes are a sequence of events: requests, answers of every kind, also
 * late, repeated and foreign ones, aborts, and time. Every request ends once
 * and every place at a target is given back. */
#include <stdlib.h>

#include "lavenderrail.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char CATALOGUE[] =
    "{\"revision\":1,\"services\":[{\"name\":\"s\",\"maps\":["
    "{\"version\":1,\"groups\":["
    "{\"name\":\"g0\",\"replicas\":["
    "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\"},"
    "{\"name\":\"b\",\"address\":\"127.0.0.1:2\",\"zone\":\"z\"}]},"
    "{\"name\":\"g1\",\"replicas\":["
    "{\"name\":\"c\",\"address\":\"127.0.0.1:3\",\"zone\":\"z\"}]}]},"
    "{\"version\":2,\"groups\":["
    "{\"name\":\"g0\",\"replicas\":["
    "{\"name\":\"c\",\"address\":\"127.0.0.1:3\",\"zone\":\"z\"}]}]}]}],"
    "\"entries\":["
    "{\"name\":\"ask\",\"owner\":\"o\",\"service\":\"s\"},"
    "{\"name\":\"once\",\"owner\":\"o\",\"service\":\"s\","
    "\"idempotent\":false}]}";

enum { MAX_SENT = 512 };

typedef struct {
    LrEngine *engine;
    LrTime now;
    uint64_t sent[MAX_SENT];
    size_t n_sent;
    uint64_t last;
    size_t n_open;
} Run;

static void
settle(Run *run)
{
    LrAction action;
    while (LrEngine_NextAction(run->engine, &action)) {
        if (action.kind == LR_ACTION_SEND && run->n_sent < MAX_SENT) {
            run->sent[run->n_sent++] = action.attempt;
        }
        if (action.kind == LR_ACTION_ANSWER) {
            run->n_open--;
            LrAnswer_Free(action.answer);
        }
    }
}

static void
submit(Run *run, bool once, uint8_t body)
{
    GBytes *bytes = g_bytes_new(&body, 1);
    LrRequest request = {
        .entry = LrStr_FromC(once ? "once" : "ask"),
        .body = bytes,
        .single_shard = once,
    };
    run->n_open++;
    run->last = LrEngine_Submit(run->engine, run->now, &request);
    g_bytes_unref(bytes);
}

static void
reply(Run *run, uint8_t which, uint8_t what)
{
    uint64_t attempt = which;
    if (run->n_sent > 0 && which != 255) {
        attempt = run->sent[which % run->n_sent];
    }
    LrReply got = {
        .status = what % LR_REPLY_COUNT,
        .version = what >> 6,
        .oldest_version = what & 1,
        .newest_version = (what >> 1) & 3,
        .draining = what == 77,
        .load = {.present = true, .queued = what},
    };
    LrEngine_OnReply(run->engine, run->now, attempt, &got);
}

static void
step(Run *run, const uint8_t *event)
{
    switch (event[0] % 5) {
    case 0:
        submit(run, event[1] & 1, event[2] & 3);
        break;
    case 1:
    case 2:
        reply(run, event[1], event[2]);
        break;
    case 3:
        run->now += event[1] * event[2] * LR_MILLISECOND / 8;
        LrEngine_Advance(run->engine, run->now);
        break;
    default:
        run->n_open -= LrEngine_Cancel(run->engine, run->now, run->last);
        break;
    }
    settle(run);
}

static void
check_idle(void *data, LrTarget *target)
{
    (void)data;
    if (target->in_flight != 0 || target->n_suspects != 0) {
        abort();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    LrEngineConfig config = {
        .zone = LrStr_FromC("z"),
        .seed = 1,
        .hedge_share = 0.5,
        .retry_share = 0.5,
        .policy = &LrSelectionPolicy_EstimatedLatency,
    };
    Run run = {.engine = LrEngine_New(&config), .now = LR_SECOND};
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue = LrCatalogue_Parse(LrStr_FromC(CATALOGUE), faults);
    LrEngine_SetCatalogue(run.engine, run.now, catalogue);
    for (size_t i = 0; i + 3 <= size && i < 3 * MAX_SENT; i += 3) {
        step(&run, data + i);
    }
    run.now += 100 * LR_SECOND;
    LrEngine_Advance(run.engine, run.now);
    settle(&run);
    if (LrEngine_QueryCount(run.engine) != 0 || run.n_open != 0) {
        abort();
    }
    LrTargets_Each(LrEngine_Targets(run.engine), check_idle, NULL);
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    LrEngine_Free(run.engine);
    return 0;
}
