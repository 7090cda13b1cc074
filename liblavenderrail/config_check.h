/* Checks of a routing configuration before it is sent to the daemons: what
 * they would refuse, what can never take effect, and limits that contradict
 * each other. No I/O. */
#ifndef LAVENDERRAIL_CONFIG_CHECK_H
#define LAVENDERRAIL_CONFIG_CHECK_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrConfigReport {
    /* What is refused, never matches, or can't be met. */
    LrFaults *errors;
    /* What has no effect, or not the one that it seems to have. */
    LrFaults *warnings;
} LrConfigReport;

/* Paths are those of an LrRoutingSpec. */
void LrConfigCheck_Run(const LrRoutingSpec *spec, LrConfigReport *report);
/* Whether daemons with the version in force take up the new one; differs tells
 * whether the two configurations differ otherwise. */
void LrConfigCheck_CompareVersions(int64_t in_force, int64_t version,
                                   bool differs, LrConfigReport *report);

#ifdef __cplusplus
}
#endif

#endif
