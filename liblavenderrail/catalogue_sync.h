/* How daemons get the catalogue from each other: a daemon that hears of a
 * newer revision requests the changes since its own one. */
#ifndef LAVENDERRAIL_CATALOGUE_SYNC_H
#define LAVENDERRAIL_CATALOGUE_SYNC_H

#include "daemon.h"

#ifdef __cplusplus
extern "C" {
#endif

LrCatalogueSync *LrCatalogueSync_New(LrDaemon *daemon);
void LrCatalogueSync_Free(LrCatalogueSync *sync);
/* A peer has told which revision it has; requests the changes if that is newer
 * than the active one. */
void LrCatalogueSync_OnNews(LrCatalogueSync *sync, LrStr address,
                            int64_t revision, LrTime now);
void LrCatalogueSync_OnRequest(LrCatalogueSync *sync,
                               const LrDeltaRequestMsg *message);
void LrCatalogueSync_OnDelta(LrCatalogueSync *sync, const LrDeltaMsg *message);
void LrCatalogueSync_OnPackedDelta(LrCatalogueSync *sync,
                                   const LrPackedDeltaMsg *message);
/* JSON object for the state dump: the newest revision that was heard of, and
 * why it is not the active one. */
struct json_t *LrCatalogueSync_Dump(const LrCatalogueSync *sync);

#ifdef __cplusplus
}
#endif

#endif
