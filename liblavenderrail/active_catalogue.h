/* The catalogue in force and the values that it was built from. Readers of
 * the configuration service and peers offer newer ones; the verdict on an
 * offer is a pure function of its values, and a lower revision is never taken
 * up. */
#ifndef LAVENDERRAIL_ACTIVE_CATALOGUE_H
#define LAVENDERRAIL_ACTIVE_CATALOGUE_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrActiveCatalogue LrActiveCatalogue;

typedef struct {
    LrLog *log;
    LrCounters *counters;
    /* Builds a catalogue; NULL with the faults when the values are invalid,
     * NULL without any when they hold no configuration yet: they are kept
     * until one comes. The former catalogue, NULL for none, may share with
     * the new one. */
    LrCatalogue *(*build)(const LrValueSet *store, const LrCatalogue *former,
                          LrFaults *faults);
    /* A catalogue was accepted; the receiver takes a reference. */
    void (*on_accepted)(void *data, LrCatalogue *catalogue);
    void *data;
} LrActiveCatalogueConfig;

LrActiveCatalogue *
LrActiveCatalogue_New(const LrActiveCatalogueConfig *config);
void LrActiveCatalogue_Free(LrActiveCatalogue *keeper);
/* Offers values, which the keeper takes over; false when they are refused or
 * not newer than those in force. */
bool LrActiveCatalogue_Offer(LrActiveCatalogue *keeper, LrValueSet *store,
                             const char *source);
/* The same for values of the revision in force, of which less is kept. */
bool LrActiveCatalogue_Replace(LrActiveCatalogue *keeper, LrValueSet *store,
                               const char *source);
/* Drops values that were held and are due. */
void LrActiveCatalogue_ExpireHeld(LrActiveCatalogue *keeper, LrTime now);
/* Values in force; revision 0 while there are none. */
const LrValueSet *LrActiveCatalogue_Values(const LrActiveCatalogue *keeper);
int64_t LrActiveCatalogue_Revision(const LrActiveCatalogue *keeper);
int64_t LrActiveCatalogue_RefusedRevision(const LrActiveCatalogue *keeper);
/* Members for the state dump. */
struct json_t *LrActiveCatalogue_Dump(const LrActiveCatalogue *keeper);

#ifdef __cplusplus
}
#endif

#endif
