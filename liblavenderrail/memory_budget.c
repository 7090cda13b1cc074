/* The memory that clients outside the limits can make a daemon hold. */
#include "memory_budget.h"

enum {
    BYTES_PER_MB = 1 << 20,
    /* A quarter of the host: responses of targets and frames of peers have
     * bounds of their own, and the rest is the daemon itself. */
    HOST_PER_BUDGET = 4,
    /* Accepted requests leave this part of the limit to requests that are
     * being read, */
    READING_SHARE = 4,
    /* except for small ones, which ordinary callers send. */
    SMALL_REQUEST_BYTES = 4096,
    MIN_ARRAY_BYTES = 16,
    /* A host whose memory is not known counts as the smallest one. */
    DEFAULT_HOST_MB = 160,
    /* Room for several requests of the largest size in any case. */
    MIN_HOST_MB = 16,
};

/* Added to the time without progress, so that size decides between
 * connections that have just made some. */
#define MIN_AGE (100 * LR_MILLISECOND)

struct LrMemoryBudget {
    size_t limit;
    size_t held;
    size_t accepted;
    TAILQ_HEAD(, LrMemoryCharge) charges;
};

size_t
LrMemoryBudget_LimitFor(double memory_mb)
{
    double known = memory_mb > 0 ? memory_mb : DEFAULT_HOST_MB;
    return (size_t)(MAX(known, MIN_HOST_MB) * BYTES_PER_MB) / HOST_PER_BUDGET;
}

size_t
LrMemoryBudget_AllocatedFor(size_t len)
{
    size_t allocated = MIN_ARRAY_BYTES;
    while (allocated < len) {
        allocated *= 2;
    }
    return allocated;
}

void
LrMemoryBudget_TrackGrowth(size_t *allocated, size_t len)
{
    if (len > *allocated) {
        *allocated = LrMemoryBudget_AllocatedFor(len);
    }
}

void
LrMemoryBudget_ClearBytes(GByteArray **bytes, size_t *allocated)
{
    g_byte_array_set_size(*bytes, 0);
    if (*allocated > LR_MAX_KEPT_BYTES) {
        g_byte_array_unref(*bytes);
        *bytes = g_byte_array_new();
        *allocated = 0;
    }
}

LrMemoryBudget *
LrMemoryBudget_New(size_t limit)
{
    LrMemoryBudget *budget = g_new0(LrMemoryBudget, 1);
    budget->limit = limit;
    TAILQ_INIT(&budget->charges);
    return budget;
}

void
LrMemoryBudget_Free(LrMemoryBudget *budget)
{
    g_free(budget);
}

void
LrMemoryBudget_Add(LrMemoryBudget *budget, LrMemoryCharge *charge, LrTime now)
{
    charge->bytes = 0;
    charge->progress_at = now;
    TAILQ_INSERT_TAIL(&budget->charges, charge, of_budget);
}

void
LrMemoryBudget_Remove(LrMemoryBudget *budget, LrMemoryCharge *charge)
{
    budget->held -= charge->bytes;
    charge->bytes = 0;
    TAILQ_REMOVE(&budget->charges, charge, of_budget);
}

void
LrMemoryBudget_SetBytes(LrMemoryBudget *budget, LrMemoryCharge *charge,
                        size_t bytes)
{
    budget->held += bytes - charge->bytes;
    charge->bytes = bytes;
}

void
LrMemoryBudget_AddAccepted(LrMemoryBudget *budget, size_t bytes)
{
    budget->held += bytes;
    budget->accepted += bytes;
}

void
LrMemoryBudget_RemoveAccepted(LrMemoryBudget *budget, size_t bytes)
{
    budget->held -= bytes;
    budget->accepted -= bytes;
}

bool
LrMemoryBudget_HasRoom(const LrMemoryBudget *budget, size_t bytes)
{
    size_t room = bytes <= SMALL_REQUEST_BYTES
                      ? budget->limit
                      : budget->limit - budget->limit / READING_SHARE;
    return budget->accepted + bytes <= room;
}

bool
LrMemoryBudget_IsOver(const LrMemoryBudget *budget)
{
    return budget->held > budget->limit;
}

LrMemoryCharge *
LrMemoryBudget_Victim(const LrMemoryBudget *budget, LrTime now)
{
    if (!LrMemoryBudget_IsOver(budget)) {
        return NULL;
    }
    LrMemoryCharge *victim = NULL;
    double highest = 0;
    LrMemoryCharge *charge;
    TAILQ_FOREACH(charge, &budget->charges, of_budget)
    {
        if (charge->is_protected) {
            continue;
        }
        double age = (double)(now - charge->progress_at + MIN_AGE);
        double score = (double)charge->bytes * age;
        if (score > highest) {
            highest = score;
            victim = charge;
        }
    }
    return victim;
}

size_t
LrMemoryBudget_Held(const LrMemoryBudget *budget)
{
    return budget->held;
}

size_t
LrMemoryBudget_Accepted(const LrMemoryBudget *budget)
{
    return budget->accepted;
}

size_t
LrMemoryBudget_Limit(const LrMemoryBudget *budget)
{
    return budget->limit;
}
