/* Attempts in flight. An id combines the attempt's slot with a generation, so
 * that a late reply to an earlier attempt in the same slot is recognised. */
#include "private.h"

enum { PLACE_BITS = 24 };

#define PLACE_MASK ((1U << PLACE_BITS) - 1)

static guint
take_place(LrEngine *engine)
{
    GArray *places = engine->free_attempt_slots;
    if (places->len > 0) {
        guint place = g_array_index(places, guint, places->len - 1);
        g_array_set_size(places, places->len - 1);
        return place;
    }
    LrAttempt *attempt = g_new0(LrAttempt, 1);
    guint place = engine->attempt_slots->len;
    attempt->id = place;
    g_ptr_array_add(engine->attempt_slots, attempt);
    return place;
}

LrAttempt *
LrAttempt_New(LrEngine *engine, LrQueryPart *part, LrTarget *target,
              LrAttemptKind kind, LrTime now)
{
    guint place = take_place(engine);
    LrAttempt *attempt = engine->attempt_slots->pdata[place];
    attempt->id += 1ULL << PLACE_BITS;
    attempt->part = part;
    attempt->target = target;
    attempt->kind = kind;
    attempt->sent_at = now;
    attempt->suspect = part->query->suspect;
    attempt->sent_as_suspect = attempt->suspect;
    TAILQ_INSERT_TAIL(&target->attempts, attempt, of_target);
    target->in_flight++;
    target->n_suspects += attempt->suspect;
    part->in_flight[part->n_in_flight++] = attempt;
    return attempt;
}

static LrAttempt *
attempt_of(const LrEngine *engine, uint64_t id)
{
    guint place = (guint)(id & PLACE_MASK);
    if (place >= engine->attempt_slots->len) {
        return NULL;
    }
    LrAttempt *attempt = engine->attempt_slots->pdata[place];
    return attempt->id == id ? attempt : NULL;
}

LrAttempt *
LrAttempt_Lookup(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = attempt_of(engine, id);
    return attempt && attempt->part ? attempt : NULL;
}

LrAttempt *
LrAttempt_LookupCancelled(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = attempt_of(engine, id);
    return attempt && !attempt->part && attempt->target ? attempt : NULL;
}

static void
leave_part(LrAttempt *attempt)
{
    LrQueryPart *part = attempt->part;
    for (unsigned i = 0; part && i < part->n_in_flight; i++) {
        if (part->in_flight[i] == attempt) {
            part->in_flight[i] = part->in_flight[--part->n_in_flight];
            break;
        }
    }
    attempt->part = NULL;
}

void
LrAttempt_MarkCancelled(LrAttempt *attempt, LrTime typical)
{
    leave_part(attempt);
    attempt->median_latency = typical;
    attempt->target->refs++;
}

void
LrAttempt_Free(LrEngine *engine, LrAttempt *attempt)
{
    LrTarget *target = attempt->target;
    leave_part(attempt);
    TAILQ_REMOVE(&target->attempts, attempt, of_target);
    target->in_flight--;
    target->n_suspects -= attempt->suspect;
    attempt->target = NULL;
    guint place = (guint)(attempt->id & PLACE_MASK);
    g_array_append_val(engine->free_attempt_slots, place);
    LrEngine_MarkTargetDirty(engine, target);
}
