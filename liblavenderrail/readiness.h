/* Whether this daemon tells the balancer that it is ready. */
#ifndef LAVENDERRAIL_READINESS_H
#define LAVENDERRAIL_READINESS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What readiness follows from, now. */
typedef struct {
    bool has_catalogue;
    bool stopping;
    /* Every other zone is cut off from this daemon. */
    bool isolated;
    /* Share, 0 to 1, of recent requests that no target could serve now. */
    double unserved_ratio;
} LrReadinessInput;

typedef enum {
    LR_READY,
    LR_UNREADY_NO_CATALOGUE,
    LR_UNREADY_STOPPING,
    /* Cut off, and unable to serve most of what callers ask: other daemons
     * serve them better. What comes all the same is served as far as it can
     * be. */
    LR_UNREADY_ISOLATED,
} LrReadiness;

extern const char *const LrReadiness_Names[];

/* The next readiness after this one. */
LrReadiness LrReadiness_Next(LrReadiness current,
                             const LrReadinessInput *standing);

#ifdef __cplusplus
}
#endif

#endif
