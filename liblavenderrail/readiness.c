/* A daemon that can reach no other zone and cannot serve most requests leaves
 * the rotation, so that the balancer sends callers to zones that can. One
 * that serves most of them stays, whatever it cannot reach. */
#include "readiness.h"

/* Share of unserved requests from which on a daemon leaves the rotation. */
#define UNSERVED_SHARE 0.5

const char *const LrReadiness_Names[] = {
    [LR_READY] = "ready",
    [LR_UNREADY_NO_CATALOGUE] = "no_catalogue",
    [LR_UNREADY_STOPPING] = "stopping",
    [LR_UNREADY_ISOLATED] = "isolated",
};

LrReadiness
LrReadiness_Next(LrReadiness current, const LrReadinessInput *standing)
{
    if (standing->stopping) {
        return LR_UNREADY_STOPPING;
    }
    if (!standing->has_catalogue) {
        return LR_UNREADY_NO_CATALOGUE;
    }
    /* Out of the rotation few requests come, so that their share says little:
     * only the end of the isolation counts. */
    bool unfit = current == LR_UNREADY_ISOLATED ||
                 standing->unserved_ratio > UNSERVED_SHARE;
    return standing->isolated && unfit ? LR_UNREADY_ISOLATED : LR_READY;
}
