/* Whether this daemon reports to the load balancer that it is ready. */
#ifndef LAVENDERRAIL_READINESS_H
#define LAVENDERRAIL_READINESS_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Current facts that readiness is derived from. */
typedef struct {
    bool has_catalogue;
    bool stopping;
    /* This daemon reaches no other zone. */
    bool isolated;
    /* Share, 0 to 1, of recent requests that no target could serve now. */
    double unserved_ratio;
} LrReadinessInput;

typedef enum {
    LR_READY,
    LR_UNREADY_NO_CATALOGUE,
    LR_UNREADY_STOPPING,
    /* Isolated, and unable to serve most requests: daemons of other zones
     * serve them better. Requests that arrive all the same are served as far
     * as possible. */
    LR_UNREADY_ISOLATED,
} LrReadiness;

extern const char *const LrReadiness_Names[];

/* The readiness that follows the current one. */
LrReadiness LrReadiness_Next(LrReadiness current,
                             const LrReadinessInput *input);

#ifdef __cplusplus
}
#endif

#endif
