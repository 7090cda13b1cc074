/* Attempts in flight. An id holds the attempt's place and a generation, so
 * that a late reply to an earlier attempt in the same place is noticed. */
#include "private.h"

enum { PLACE_BITS = 24 };

#define PLACE_MASK ((1U << PLACE_BITS) - 1)

static guint
take_place(LrEngine *engine)
{
    GArray *places = engine->free_attempts;
    if (places->len > 0) {
        guint place = g_array_index(places, guint, places->len - 1);
        g_array_set_size(places, places->len - 1);
        return place;
    }
    LrAttempt *attempt = g_new0(LrAttempt, 1);
    guint place = engine->attempts->len;
    attempt->id = place;
    g_ptr_array_add(engine->attempts, attempt);
    return place;
}

LrAttempt *
LrAttempt_New(LrEngine *engine, LrPart *part, LrTarget *target,
              LrAttemptKind kind, LrTime now)
{
    guint place = take_place(engine);
    LrAttempt *attempt = engine->attempts->pdata[place];
    attempt->id += 1ULL << PLACE_BITS;
    attempt->part = part;
    attempt->target = target;
    attempt->kind = kind;
    attempt->sent_at = now;
    attempt->suspect = part->query->suspect;
    attempt->sent_as_suspect = attempt->suspect;
    TAILQ_INSERT_TAIL(&target->attempts, attempt, of_target);
    target->in_flight++;
    target->suspects += attempt->suspect;
    part->live[part->n_live++] = attempt;
    return attempt;
}

static LrAttempt *
attempt_of(const LrEngine *engine, uint64_t id)
{
    guint place = (guint)(id & PLACE_MASK);
    if (place >= engine->attempts->len) {
        return NULL;
    }
    LrAttempt *attempt = engine->attempts->pdata[place];
    return attempt->id == id ? attempt : NULL;
}

LrAttempt *
LrAttempt_Lookup(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = attempt_of(engine, id);
    return attempt && attempt->part ? attempt : NULL;
}

LrAttempt *
LrAttempt_LookupWithdrawn(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = attempt_of(engine, id);
    return attempt && !attempt->part && attempt->target ? attempt : NULL;
}

static void
leave_part(LrAttempt *attempt)
{
    LrPart *part = attempt->part;
    for (unsigned i = 0; part && i < part->n_live; i++) {
        if (part->live[i] == attempt) {
            part->live[i] = part->live[--part->n_live];
            break;
        }
    }
    attempt->part = NULL;
}

void
LrAttempt_Withdraw(LrAttempt *attempt, LrTime typical)
{
    leave_part(attempt);
    attempt->typical = typical;
    attempt->target->refs++;
}

void
LrAttempt_Free(LrEngine *engine, LrAttempt *attempt)
{
    LrTarget *target = attempt->target;
    leave_part(attempt);
    TAILQ_REMOVE(&target->attempts, attempt, of_target);
    target->in_flight--;
    target->suspects -= attempt->suspect;
    attempt->target = NULL;
    guint place = (guint)(attempt->id & PLACE_MASK);
    g_array_append_val(engine->free_attempts, place);
    LrEngine_TouchTarget(engine, target);
}
