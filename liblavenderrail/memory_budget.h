/* The memory that clients outside the limits can make a daemon hold: bodies
 * and heads that stop short of their end, pipelined requests, unread answers,
 * and requests that wait for slow targets. Connections and accepted requests
 * are charged for what is allocated for them; beyond the limit the budget
 * names the connection to refuse or close. */
#ifndef LAVENDERRAIL_MEMORY_BUDGET_H
#define LAVENDERRAIL_MEMORY_BUDGET_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Buffers that are empty keep at most this. */
enum { LR_MAX_KEPT_BYTES = 8192 };

typedef struct LrMemoryBudget LrMemoryBudget;

/* What one connection holds. Its owner embeds the charge. */
typedef struct LrMemoryCharge {
    void *owner;
    size_t bytes;
    /* Counts, but is never named: releasing it would break a promise. */
    bool is_protected;
    LrTime progress_at;
    TAILQ_ENTRY(LrMemoryCharge) of_budget;
} LrMemoryCharge;

/* Limit for a host with that much memory; 0: not known. */
size_t LrMemoryBudget_LimitFor(double memory_mb);
/* Allocated size of an array that grew to that many bytes: GLib rounds up to
 * powers of two. */
size_t LrMemoryBudget_AllocatedFor(size_t len);
/* Updates the allocated size of an array that has grown to len bytes. */
void LrMemoryBudget_TrackGrowth(size_t *allocated, size_t len);
/* Empties an array, and frees what it allocated if that is large. */
void LrMemoryBudget_ClearBytes(GByteArray **bytes, size_t *allocated);

LrMemoryBudget *LrMemoryBudget_New(size_t limit);
void LrMemoryBudget_Free(LrMemoryBudget *budget);
void LrMemoryBudget_Add(LrMemoryBudget *budget, LrMemoryCharge *charge,
                        LrTime now);
void LrMemoryBudget_Remove(LrMemoryBudget *budget, LrMemoryCharge *charge);
void LrMemoryBudget_SetBytes(LrMemoryBudget *budget, LrMemoryCharge *charge,
                             size_t bytes);
/* Accepted requests, which are never refused for their memory. */
void LrMemoryBudget_AddAccepted(LrMemoryBudget *budget, size_t bytes);
void LrMemoryBudget_RemoveAccepted(LrMemoryBudget *budget, size_t bytes);
/* Whether another request may be accepted. */
bool LrMemoryBudget_HasRoom(const LrMemoryBudget *budget, size_t bytes);
bool LrMemoryBudget_IsOver(const LrMemoryBudget *budget);
/* The charge to release first: the one that holds most and made no progress
 * for longest. NULL within the limit, and when there is nothing to
 * release. */
LrMemoryCharge *LrMemoryBudget_Victim(const LrMemoryBudget *budget,
                                      LrTime now);
size_t LrMemoryBudget_Held(const LrMemoryBudget *budget);
size_t LrMemoryBudget_Accepted(const LrMemoryBudget *budget);
size_t LrMemoryBudget_Limit(const LrMemoryBudget *budget);

#ifdef __cplusplus
}
#endif

#endif
