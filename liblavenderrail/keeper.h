/* The catalogue in force and the values that it was built from. Readers of
 * the configuration service and peers offer newer ones; the verdict on an
 * offer is a pure function of its values, and a lower revision is never taken
 * up. */
#ifndef LAVENDERRAIL_KEEPER_H
#define LAVENDERRAIL_KEEPER_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrKeeper LrKeeper;

typedef struct {
    LrLog *log;
    LrCounters *counters;
    /* Builds a catalogue; NULL with the faults when the values are invalid,
     * NULL without any when they hold no configuration yet: they are kept
     * until one comes. The former catalogue, NULL for none, may share with
     * the new one. */
    LrCatalogue *(*build)(const LrStore *store, const LrCatalogue *former,
                          LrFaults *faults);
    /* A catalogue was accepted; the receiver takes a reference. */
    void (*catalogue)(void *data, LrCatalogue *catalogue);
    void *data;
} LrKeeperConfig;

LrKeeper *LrKeeper_New(const LrKeeperConfig *config);
void LrKeeper_Free(LrKeeper *keeper);
/* Offers values, which the keeper takes over; false when they are refused or
 * not newer than those in force. */
bool LrKeeper_Offer(LrKeeper *keeper, LrStore *store, const char *source);
/* The same for values of the revision in force, of which less is kept. */
bool LrKeeper_Replace(LrKeeper *keeper, LrStore *store, const char *source);
/* Drops values that were held and are due. */
void LrKeeper_Release(LrKeeper *keeper, LrTime now);
/* Values in force; revision 0 while there are none. */
const LrStore *LrKeeper_Store(const LrKeeper *keeper);
int64_t LrKeeper_Revision(const LrKeeper *keeper);
int64_t LrKeeper_RefusedRevision(const LrKeeper *keeper);
/* Members for the state dump. */
struct json_t *LrKeeper_Dump(const LrKeeper *keeper);

#ifdef __cplusplus
}
#endif

#endif
