/* Which callers this daemon has refused and told when to return. No I/O; time
 * is an argument. */
#ifndef LAVENDERRAIL_REFUSED_CALLERS_H
#define LAVENDERRAIL_REFUSED_CALLERS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a request's arrival says of how its caller heeds refusals; lower values
 * go first. */
typedef enum {
    /* It was refused before and comes back at the time that it was told. */
    LR_CALLER_RETURNED,
    LR_CALLER_NEW,
    /* Another daemon seems to have refused it a moment ago. */
    LR_CALLER_REPEATED,
    /* It was refused before and comes back too early. */
    LR_CALLER_EARLY,
} LrCallerStanding;

extern const char *const LrCallerStanding_Names[];

typedef struct LrRefusedCallers LrRefusedCallers;

/* The seed keeps callers from choosing requests that displace others. */
LrRefusedCallers *LrRefusedCallers_New(uint64_t seed);
void LrRefusedCallers_Free(LrRefusedCallers *callers);
/* Standing of a request that arrives; an early one is held against its
 * caller. Requests without a caller's address are always new. */
LrCallerStanding LrRefusedCallers_OnRequest(LrRefusedCallers *callers,
                                            LrFingerprint fingerprint,
                                            LrTime now);
/* When the request may return; 0 if it was not refused. */
LrTime LrRefusedCallers_ReturnTime(const LrRefusedCallers *callers,
                                   LrFingerprint fingerprint, LrTime now);
/* The request is refused and told to return at a time; its caller gives up at
 * expires_at. */
void LrRefusedCallers_OnRefused(LrRefusedCallers *callers,
                                LrFingerprint fingerprint, LrTime return_at,
                                LrTime expires_at, LrTime now);
/* The request was served. */
void LrRefusedCallers_Forget(LrRefusedCallers *callers,
                             LrFingerprint fingerprint);
/* Number of callers remembered at that time. */
size_t LrRefusedCallers_Count(const LrRefusedCallers *callers, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
