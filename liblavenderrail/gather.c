/* Gathering: the parts of a query and the answer built from them. */
#include "private.h"

#include <math.h>

/* Index of the first group of the map that the query is sent to; n_groups
 * when there is none. */
static size_t
first_group(const LrQuery *query, const LrMap *map)
{
    if (query->shard.len == 0) {
        return query->single_shard ? query->route_hash % map->n_groups : 0;
    }
    size_t i = 0;
    while (i < map->n_groups &&
           !LrStr_Equal(map->groups[i].name, query->shard)) {
        i++;
    }
    bool served = i < map->n_groups && !map->groups[i].relayed;
    return served ? i : map->n_groups;
}

bool
LrGather_Init(LrQuery *query, LrMap *map)
{
    size_t first = first_group(query, map);
    if (first == map->n_groups) {
        return false;
    }
    query->map = map;
    query->n_parts = query->single_shard ? 1 : map->n_groups;
    query->n_pending = query->n_parts;
    query->n_answered = 0;
    query->parts = g_new0(LrQueryPart, query->n_parts);
    for (size_t i = 0; i < query->n_parts; i++) {
        query->parts[i].query = query;
        query->parts[i].group = &map->groups[first + i];
    }
    return true;
}

void
LrGather_Clear(LrEngine *engine, LrQuery *query)
{
    for (size_t i = 0; i < query->n_parts; i++) {
        LrQueryPart *part = &query->parts[i];
        LrDispatch_Cancel(engine, part);
        g_clear_pointer(&part->head, g_bytes_unref);
        g_clear_pointer(&part->body, g_bytes_unref);
    }
    g_clear_pointer(&query->parts, g_free);
    query->n_parts = 0;
    query->n_pending = 0;
    query->n_answered = 0;
}

void
LrGather_SetAnswered(LrQueryPart *part, LrTarget *target, const LrReply *reply)
{
    part->state = LR_QUERY_PART_ANSWERED;
    part->reason = LR_REASON_NONE;
    part->answered_by = target;
    LrGather_StoreReply(part, reply);
    part->query->n_pending--;
    part->query->n_answered++;
}

void
LrGather_StoreReply(LrQueryPart *part, const LrReply *reply)
{
    g_clear_pointer(&part->head, g_bytes_unref);
    g_clear_pointer(&part->body, g_bytes_unref);
    part->head = reply->head ? g_bytes_ref(reply->head) : NULL;
    part->body = reply->body ? g_bytes_ref(reply->body) : NULL;
}

void
LrGather_SetMissing(LrQueryPart *part, LrReason reason)
{
    if (part->state == LR_QUERY_PART_MISSING ||
        part->state == LR_QUERY_PART_ANSWERED) {
        return;
    }
    part->state = LR_QUERY_PART_MISSING;
    part->reason = reason;
    part->query->n_pending--;
}

/* Keeps a coverage that is a whole number of shards from being rounded up. */
#define SHARE_EPSILON 1e-9

size_t
LrGather_RequiredShards(const LrEntrySpec *spec, size_t n_shards)
{
    double share = spec->min_coverage - SHARE_EPSILON;
    return (size_t)MAX(1, ceil(share * (double)n_shards));
}

bool
LrGather_IsDone(const LrQuery *query, LrTime now)
{
    if (query->n_pending == 0 || now >= query->hard_deadline) {
        return true;
    }
    size_t needed =
        LrGather_RequiredShards(query->entry->spec, query->n_parts);
    if (query->entry->spec->strict_coverage &&
        query->n_answered + query->n_pending < needed) {
        return true;
    }
    return now >= query->soft_deadline && query->n_answered >= needed;
}

/* Whether the answered parts meet the coverage that the entry requires. */
static bool
has_required_shards(const LrQuery *query)
{
    return query->n_answered > 0 &&
           (!query->entry->spec->strict_coverage ||
            query->n_answered >=
                LrGather_RequiredShards(query->entry->spec, query->n_parts));
}

static LrOutcome
outcome_of(const LrQuery *query)
{
    if (query->n_parts > 0 && query->n_answered == query->n_parts) {
        return LR_OUTCOME_COMPLETE;
    }
    if (has_required_shards(query)) {
        return LR_OUTCOME_PARTIAL;
    }
    return query->n_may_have_run > 0 ? LR_OUTCOME_UNKNOWN : LR_OUTCOME_NOT_RUN;
}

static void
fill_answer_part(LrAnswerPart *out, LrQueryPart *part, LrReason reason)
{
    out->shard = part->group->name;
    out->head = g_steal_pointer(&part->head);
    out->body = g_steal_pointer(&part->body);
    if (part->state == LR_QUERY_PART_ANSWERED) {
        out->target = part->answered_by->name;
        return;
    }
    bool final = part->state == LR_QUERY_PART_MISSING ||
                 (reason == LR_REASON_DEADLINE && part->reason);
    out->reason = final ? part->reason : reason;
}

static LrReason
main_reason(const LrAnswer *answer, LrReason reason)
{
    if (answer->outcome == LR_OUTCOME_COMPLETE) {
        return LR_REASON_NONE;
    }
    for (size_t i = 0; i < answer->n_parts && reason == LR_REASON_NONE; i++) {
        reason = answer->parts[i].reason;
    }
    return reason;
}

LrAnswer *
LrGather_BuildAnswer(LrQuery *query, LrReason reason)
{
    LrAnswer *answer = g_new0(LrAnswer, 1);
    answer->outcome = outcome_of(query);
    answer->version = query->map ? query->map->version : 0;
    answer->n_parts = query->n_parts;
    answer->n_answered = query->n_answered;
    answer->parts = g_new0(LrAnswerPart, query->n_parts);
    answer->arrived_at = query->arrived_at;
    answer->klass = query->klass;
    answer->data = query->data;
    answer->view = query->view ? LrView_Ref(query->view) : NULL;
    for (size_t i = 0; i < query->n_parts; i++) {
        fill_answer_part(&answer->parts[i], &query->parts[i], reason);
        answer->n_spent = MAX(answer->n_spent, query->parts[i].n_may_have_run);
    }
    answer->reason = main_reason(answer, reason);
    return answer;
}

void
LrAnswer_Free(LrAnswer *answer)
{
    if (!answer) {
        return;
    }
    for (size_t i = 0; i < answer->n_parts; i++) {
        g_clear_pointer(&answer->parts[i].head, g_bytes_unref);
        g_clear_pointer(&answer->parts[i].body, g_bytes_unref);
    }
    g_free(answer->parts);
    LrView_Unref(answer->view);
    g_free(answer);
}
