/* Attempts in flight. An id combines the attempt's slot with a generation, so
 * that a late reply to an earlier attempt in the same slot is recognised. */
#include "private.h"

enum { SLOT_BITS = 24 };

#define SLOT_MASK ((1U << SLOT_BITS) - 1)

static guint
take_slot(LrEngine *engine)
{
    GArray *free_slots = engine->free_attempt_slots;
    if (free_slots->len > 0) {
        guint slot = g_array_index(free_slots, guint, free_slots->len - 1);
        g_array_set_size(free_slots, free_slots->len - 1);
        return slot;
    }
    LrAttempt *attempt = g_new0(LrAttempt, 1);
    guint slot = engine->attempt_slots->len;
    attempt->id = slot;
    g_ptr_array_add(engine->attempt_slots, attempt);
    return slot;
}

LrAttempt *
LrAttempt_New(LrEngine *engine, LrQueryPart *part, LrTarget *target,
              LrAttemptKind kind, LrTime now)
{
    guint slot = take_slot(engine);
    LrAttempt *attempt = engine->attempt_slots->pdata[slot];
    attempt->id += 1ULL << SLOT_BITS;
    attempt->part = part;
    attempt->target = target;
    attempt->kind = kind;
    attempt->sent_at = now;
    attempt->suspect = part->query->suspect;
    attempt->sent_as_suspect = attempt->suspect;
    attempt->fingerprint = part->query->fingerprint;
    TAILQ_INSERT_TAIL(&target->attempts, attempt, of_target);
    target->in_flight++;
    attempt->load_at_send = LrTargets_LoadAtSend(target, now);
    target->n_suspects += attempt->suspect;
    part->in_flight_attempts[part->n_in_flight++] = attempt;
    return attempt;
}

static LrAttempt *
find_attempt(const LrEngine *engine, uint64_t id)
{
    guint slot = (guint)(id & SLOT_MASK);
    if (slot >= engine->attempt_slots->len) {
        return NULL;
    }
    LrAttempt *attempt = engine->attempt_slots->pdata[slot];
    return attempt->id == id ? attempt : NULL;
}

LrAttempt *
LrAttempt_Lookup(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = find_attempt(engine, id);
    return attempt && attempt->part ? attempt : NULL;
}

LrAttempt *
LrAttempt_LookupCancelled(LrEngine *engine, uint64_t id)
{
    LrAttempt *attempt = find_attempt(engine, id);
    return attempt && !attempt->part && attempt->target ? attempt : NULL;
}

static void
remove_from_part(LrAttempt *attempt)
{
    LrQueryPart *part = attempt->part;
    for (unsigned i = 0; part && i < part->n_in_flight; i++) {
        if (part->in_flight_attempts[i] == attempt) {
            part->in_flight_attempts[i] =
                part->in_flight_attempts[--part->n_in_flight];
            break;
        }
    }
    attempt->part = NULL;
}

void
LrAttempt_MarkCancelled(LrAttempt *attempt, LrTime median_latency)
{
    if (attempt->part->query->harmless) {
        attempt->fingerprint = (LrFingerprint){.content = 0};
    }
    remove_from_part(attempt);
    attempt->median_latency = median_latency;
    attempt->target->refs++;
}

void
LrAttempt_Free(LrEngine *engine, LrAttempt *attempt)
{
    LrTarget *target = attempt->target;
    remove_from_part(attempt);
    TAILQ_REMOVE(&target->attempts, attempt, of_target);
    target->in_flight--;
    target->n_suspects -= attempt->suspect;
    attempt->target = NULL;
    guint slot = (guint)(attempt->id & SLOT_MASK);
    g_array_append_val(engine->free_attempt_slots, slot);
    LrEngine_MarkTargetDirty(engine, target);
}
