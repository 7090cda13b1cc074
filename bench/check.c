/* Checks each answer of a simulation against what really happened. */
#include "sim.h"

#include <stdlib.h>

size_t
Sim_ShardNumber(LrStr shard)
{
    return (size_t)strtoul(shard.ptr + 1, NULL, 10);
}

static void
check_parts(Sim *sim, const LrAnswer *got, size_t request)
{
    SimResult *result = &sim->result;
    size_t n_true = 0;
    int64_t version = 0;
    bool mixed = false;
    bool wrong = false;
    for (size_t i = 0; i < got->n_parts; i++) {
        const LrAnswerPart *part = &got->parts[i];
        if (part->reason != LR_REASON_NONE) {
            continue;
        }
        const SimEvidence *evidence = g_bytes_get_data(part->body, NULL);
        n_true++;
        wrong |= evidence->request != request;
        wrong |= evidence->group != Sim_ShardNumber(part->shard);
        mixed |= version && version != evidence->version;
        version = evidence->version;
    }
    wrong |= n_true != got->n_answered;
    wrong |= got->outcome == LR_OUTCOME_COMPLETE && n_true != got->n_parts;
    result->false_coverage += wrong;
    result->mixed_snapshot += mixed || (version && version != got->version);
    result->n_parts += got->n_parts;
    result->n_parts_answered += got->n_answered;
}

void
Sim_Check(Sim *sim, const LrAnswer *got)
{
    SimResult *result = &sim->result;
    size_t index = GPOINTER_TO_SIZE(got->data) - 1;
    sim->n_ended += sim->plant != SIM_PLANT_LOST_ANSWERS;
    const SimRequest *request =
        &g_array_index(sim->requests, SimRequest, index);
    if (got->outcome == LR_OUTCOME_NOT_RUN) {
        result->n_refused++;
        result->wrong_not_run +=
            request->n_runs > 0 || sim->plant == SIM_PLANT_WRONG_NOT_RUN;
    }
    bool planted = sim->plant == SIM_PLANT_INNOCENT_QUARANTINED;
    if ((got->reason == LR_REASON_QUARANTINED || planted) &&
        !request->poisonous) {
        result->innocent_quarantined++;
    }
    if (got->outcome == LR_OUTCOME_NOT_RUN || request->poisonous) {
        return;
    }
    check_parts(sim, got, index);
    if (request->once) {
        return;
    }
    double ms = (double)(sim->now - request->sent_at) / (double)LR_MILLISECOND;
    result->n_answers++;
    double share = (double)got->n_answered / (double)got->n_parts;
    bool useful = share >= sim->size->min_coverage;
    result->n_useful += useful;
    g_array_append_val(result->latencies, ms);
    if (request->urgent) {
        g_array_append_val(result->urgent_latencies, ms);
    }
}
