/* A daemon that reaches no other zone and cannot serve most requests reports
 * that it is not ready, so that the load balancer sends callers to zones that
 * can serve them. A daemon that serves most requests stays ready, whatever it
 * cannot reach. */
#include "readiness.h"

/* Above this share of unserved requests an isolated daemon is not ready. */
#define MAX_UNSERVED_RATIO 0.5

const char *const LrReadiness_Names[] = {
    [LR_READY] = "ready",
    [LR_UNREADY_NO_CATALOGUE] = "no_catalogue",
    [LR_UNREADY_STOPPING] = "stopping",
    [LR_UNREADY_ISOLATED] = "isolated",
};

LrReadiness
LrReadiness_Next(LrReadiness current, const LrReadinessInput *input)
{
    if (input->stopping) {
        return LR_UNREADY_STOPPING;
    }
    if (!input->has_catalogue) {
        return LR_UNREADY_NO_CATALOGUE;
    }
    /* A daemon that is not ready gets few requests, so their unserved share
     * says little: only the end of the isolation counts. */
    bool unable = current == LR_UNREADY_ISOLATED ||
                  input->unserved_ratio > MAX_UNSERVED_RATIO;
    return input->isolated && unable ? LR_UNREADY_ISOLATED : LR_READY;
}
