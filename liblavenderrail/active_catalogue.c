/* Validation and activation of catalogues. */
#include "active_catalogue.h"

#include <jansson.h>

struct LrActiveCatalogue {
    LrActiveCatalogueConfig config;
    LrValueSet *values;
    /* NULL before the first one is accepted. */
    LrCatalogue *catalogue;
    LrTime accepted_at;
    int64_t refused_revision;
    char *refusal_cause;
};

LrActiveCatalogue *
LrActiveCatalogue_New(const LrActiveCatalogueConfig *config)
{
    LrActiveCatalogue *active = g_new0(LrActiveCatalogue, 1);
    active->config = *config;
    active->values = LrValueSet_New();
    return active;
}

void
LrActiveCatalogue_Free(LrActiveCatalogue *active)
{
    if (!active) {
        return;
    }
    LrValueSet_Free(active->values);
    LrCatalogue_Unref(active->catalogue);
    g_free(active->refusal_cause);
    g_free(active);
}

static void
refuse(LrActiveCatalogue *active, int64_t revision, const LrFaults *faults,
       const char *source)
{
    active->refused_revision = revision;
    g_free(active->refusal_cause);
    active->refusal_cause = LrFaults_ToText(faults);
    LrCounters_Add(active->config.counters, LR_COUNT_CATALOGUE_REFUSED, 1);
    LR_LOG(active->config.log, LOG_ERR, "catalogue_refused",
           LrLog_Int("revision", revision), LrLog_CStr("source", source),
           LrLog_CStr("why", active->refusal_cause));
}

static void
replace_values(LrActiveCatalogue *active, LrValueSet *values)
{
    LrValueSet_Free(active->values);
    active->values = values;
}

static void
accept(LrActiveCatalogue *active, LrValueSet *values, LrCatalogue *catalogue,
       const char *source, LrTime began_at)
{
    replace_values(active, values);
    LrCatalogue_Unref(active->catalogue);
    active->catalogue = LrCatalogue_Ref(catalogue);
    LrCounters_Add(active->config.counters, LR_COUNT_CATALOGUE_ACCEPTED, 1);
    active->config.on_accepted(active->config.data, catalogue);
    active->accepted_at = LrClock_Now();
    LR_LOG(active->config.log, LOG_NOTICE, "catalogue_accepted",
           LrLog_Int("revision", catalogue->spec.revision),
           LrLog_CStr("source", source),
           LrLog_Int("ms", (active->accepted_at - began_at) / LR_MILLISECOND));
}

/* Zones are evacuated also by values whose configuration is invalid. */
static void
keep_evacuations(LrActiveCatalogue *active, const LrValueSet *refused,
                 const char *source)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    size_t n_zones = LrValueSet_EvacuatedZones(refused, zones);
    LrActiveCatalogue_SetEvacuations(active,
                                     LrValueSet_EvacuationsRevision(refused),
                                     zones, n_zones, source);
}

static bool
evaluate(LrActiveCatalogue *active, LrValueSet *values, const char *source,
         int64_t min_revision)
{
    int64_t revision = LrValueSet_Revision(values);
    LrTime began_at = LrClock_Now();
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue =
        active->config.build(values, active->catalogue, faults);
    bool valid = LrFaults_Count(faults) == 0;
    bool accepted = valid && revision >= min_revision;
    if (!valid) {
        refuse(active, revision, faults, source);
        keep_evacuations(active, values, source);
    }
    if (!accepted) {
        LrValueSet_Free(values);
    }
    else if (catalogue) {
        accept(active, values, catalogue, source, began_at);
    }
    else {
        replace_values(active, values);
    }
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    return accepted;
}

bool
LrActiveCatalogue_Offer(LrActiveCatalogue *active, LrValueSet *values,
                        const char *source)
{
    return evaluate(active, values, source,
                    LrActiveCatalogue_Revision(active) + 1);
}

bool
LrActiveCatalogue_Replace(LrActiveCatalogue *active, LrValueSet *values,
                          const char *source)
{
    return evaluate(active, values, source,
                    LrActiveCatalogue_Revision(active));
}

static bool
contains(const LrStr *list, size_t n, LrStr wanted)
{
    for (size_t i = 0; i < n; i++) {
        if (LrStr_Equal(list[i], wanted)) {
            return true;
        }
    }
    return false;
}

static bool
evacuates_the_same(const LrValueSet *values, const LrStr *zones,
                   size_t n_zones)
{
    LrStr known[LR_MAX_EVACUATED_ZONES];
    size_t n_known = LrValueSet_EvacuatedZones(values, known);
    bool same = n_known == n_zones;
    for (size_t i = 0; same && i < n_zones; i++) {
        same = contains(known, n_known, zones[i]);
    }
    return same;
}

void
LrActiveCatalogue_SetEvacuations(LrActiveCatalogue *active, int64_t revision,
                                 const LrStr *zones, size_t n_zones,
                                 const char *source)
{
    if (revision <= LrValueSet_EvacuationsRevision(active->values)) {
        return;
    }
    if (evacuates_the_same(active->values, zones, n_zones)) {
        LrValueSet_SetEvacuationsRevision(active->values, revision);
        return;
    }
    LrValueSet *values = LrValueSet_Fork(active->values);
    LrValueSet_ReplaceEvacuations(values, revision, zones, n_zones);
    LrActiveCatalogue_Replace(active, values, source);
}

void
LrActiveCatalogue_ExpireHeld(LrActiveCatalogue *active, LrTime now)
{
    if (LrValueSet_NextHoldExpiry(active->values) > now) {
        return;
    }
    LrValueSet *values = LrValueSet_Fork(active->values);
    LrValueSet_ExpireHeld(values, now);
    LrActiveCatalogue_Replace(active, values, "release");
}

const LrValueSet *
LrActiveCatalogue_Values(const LrActiveCatalogue *active)
{
    return active->values;
}

int64_t
LrActiveCatalogue_Revision(const LrActiveCatalogue *active)
{
    return LrValueSet_Revision(active->values);
}

int64_t
LrActiveCatalogue_RefusedRevision(const LrActiveCatalogue *active)
{
    return active->refused_revision;
}

json_t *
LrActiveCatalogue_Dump(const LrActiveCatalogue *active)
{
    LrTime age = active->accepted_at > 0
                     ? (LrClock_Now() - active->accepted_at) / LR_MILLISECOND
                     : -1;
    return json_pack("{s:I, s:I, s:I, s:s}", "revision",
                     (json_int_t)LrActiveCatalogue_Revision(active), "age_ms",
                     (json_int_t)age, "refused_revision",
                     (json_int_t)active->refused_revision, "refused_why",
                     active->refusal_cause ? active->refusal_cause : "");
}
