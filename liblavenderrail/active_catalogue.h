/* The active catalogue and the values that it was built from. Readers of the
 * configuration service and peers offer newer values. Whether an offer is
 * valid depends on its values only, so all daemons decide alike, and a lower
 * revision is never activated. */
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
    /* Builds a catalogue. NULL with faults: the values are invalid. NULL
     * without faults: they hold no configuration yet and are kept until one
     * arrives. The new catalogue may share memory with the former one, which
     * is NULL at first. */
    LrCatalogue *(*build)(const LrValueSet *values, const LrCatalogue *former,
                          LrFaults *faults);
    /* A catalogue was activated; the callback takes a reference of its own. */
    void (*on_accepted)(void *data, LrCatalogue *catalogue);
    void *data;
} LrActiveCatalogueConfig;

LrActiveCatalogue *
LrActiveCatalogue_New(const LrActiveCatalogueConfig *config);
void LrActiveCatalogue_Free(LrActiveCatalogue *active);
/* Offers values and passes their ownership; false when they are invalid or
 * not newer than the active ones. */
bool LrActiveCatalogue_Offer(LrActiveCatalogue *active, LrValueSet *values,
                             const char *source);
/* The same, but also accepts values of the active revision, for instance
 * after held values have expired. */
bool LrActiveCatalogue_Replace(LrActiveCatalogue *active, LrValueSet *values,
                               const char *source);
/* Takes over which zones are evacuated as of a revision of the service, if
 * that is newer than what is known. */
void LrActiveCatalogue_SetEvacuations(LrActiveCatalogue *active,
                                      int64_t revision, const LrStr *zones,
                                      size_t n_zones, const char *source);
/* Drops the held values whose hold time is over. */
void LrActiveCatalogue_ExpireHeld(LrActiveCatalogue *active, LrTime now);
/* The active values; empty with revision 0 before the first are accepted. */
const LrValueSet *LrActiveCatalogue_Values(const LrActiveCatalogue *active);
int64_t LrActiveCatalogue_Revision(const LrActiveCatalogue *active);
int64_t LrActiveCatalogue_RefusedRevision(const LrActiveCatalogue *active);
/* JSON members for the state dump. */
struct json_t *LrActiveCatalogue_Dump(const LrActiveCatalogue *active);

#ifdef __cplusplus
}
#endif

#endif
