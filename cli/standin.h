/* Simulates the systems around the query tier: targets, configuration
 * service and host list, in one process on loopback. */
#ifndef LAVENDERRAIL_STANDIN_H
#define LAVENDERRAIL_STANDIN_H

#include <ev.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>

#include "lavenderrail.h"

typedef struct Standin Standin;
typedef struct Target Target;
typedef struct Platform Platform;

/* Service times and limits of every simulated target. */
typedef struct {
    double median_ms;
    double sigma;
    int slots;
    int max_queue;
} TargetDefaults;

struct Standin {
    struct ev_loop *loop;
    gsl_rng *rng;
    TargetDefaults defaults;
    GHashTable *targets;
    GHashTable *runs;
    Platform *platform;
};

/* standin_target.c */
Target *Target_New(Standin *standin, const char *name, const char *zone,
                   const char *address, GError **error);
void Target_Free(Target *target);
/* Sets a fault by name; returns false when the name is unknown. */
bool Target_SetFault(Target *target, const char *name, const char *value);
const char *Target_Zone(const Target *target);
const char *Target_Address(const Target *target);

/* standin_platform.c */
Platform *Platform_New(Standin *standin, const char *address,
                       json_t *catalogue, char **daemons, GError **error);
void Platform_Free(Platform *platform);

#endif
