/* Validation and activation of catalogues. */
#include "active_catalogue.h"

#include <jansson.h>

struct LrActiveCatalogue {
    LrActiveCatalogueConfig config;
    LrValueSet *store;
    /* NULL before the first one is accepted. */
    LrCatalogue *catalogue;
    LrTime accepted_at;
    int64_t refused_revision;
    char *refused_why;
};

LrActiveCatalogue *
LrActiveCatalogue_New(const LrActiveCatalogueConfig *config)
{
    LrActiveCatalogue *keeper = g_new0(LrActiveCatalogue, 1);
    keeper->config = *config;
    keeper->store = LrValueSet_New();
    return keeper;
}

void
LrActiveCatalogue_Free(LrActiveCatalogue *keeper)
{
    if (!keeper) {
        return;
    }
    LrValueSet_Free(keeper->store);
    LrCatalogue_Unref(keeper->catalogue);
    g_free(keeper->refused_why);
    g_free(keeper);
}

static void
refuse(LrActiveCatalogue *keeper, int64_t revision, const LrFaults *faults,
       const char *source)
{
    keeper->refused_revision = revision;
    g_free(keeper->refused_why);
    keeper->refused_why = LrFaults_ToText(faults);
    LrCounters_Add(keeper->config.counters, LR_COUNT_CATALOGUE_REFUSED, 1);
    LR_LOG(keeper->config.log, LOG_ERR, "catalogue_refused",
           LrLog_Int("revision", revision), LrLog_CStr("source", source),
           LrLog_CStr("why", keeper->refused_why));
}

static void
keep(LrActiveCatalogue *keeper, LrValueSet *store)
{
    LrValueSet_Free(keeper->store);
    keeper->store = store;
}

static void
accept(LrActiveCatalogue *keeper, LrValueSet *store, LrCatalogue *catalogue,
       const char *source)
{
    keep(keeper, store);
    LrCatalogue_Unref(keeper->catalogue);
    keeper->catalogue = LrCatalogue_Ref(catalogue);
    keeper->accepted_at = LrClock_Now();
    LrCounters_Add(keeper->config.counters, LR_COUNT_CATALOGUE_ACCEPTED, 1);
    LR_LOG(keeper->config.log, LOG_NOTICE, "catalogue_accepted",
           LrLog_Int("revision", catalogue->spec.revision),
           LrLog_CStr("source", source));
    keeper->config.on_accepted(keeper->config.data, catalogue);
}

static bool
consider(LrActiveCatalogue *keeper, LrValueSet *store, const char *source,
         int64_t least)
{
    int64_t revision = LrValueSet_Revision(store);
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue =
        keeper->config.build(store, keeper->catalogue, faults);
    bool valid = LrFaults_Count(faults) == 0;
    bool taken = valid && revision >= least;
    if (!valid) {
        refuse(keeper, revision, faults, source);
    }
    if (!taken) {
        LrValueSet_Free(store);
    }
    else if (catalogue) {
        accept(keeper, store, catalogue, source);
    }
    else {
        keep(keeper, store);
    }
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    return taken;
}

bool
LrActiveCatalogue_Offer(LrActiveCatalogue *keeper, LrValueSet *store,
                        const char *source)
{
    return consider(keeper, store, source,
                    LrActiveCatalogue_Revision(keeper) + 1);
}

bool
LrActiveCatalogue_Replace(LrActiveCatalogue *keeper, LrValueSet *store,
                          const char *source)
{
    return consider(keeper, store, source, LrActiveCatalogue_Revision(keeper));
}

void
LrActiveCatalogue_ExpireHeld(LrActiveCatalogue *keeper, LrTime now)
{
    if (LrValueSet_NextHoldExpiry(keeper->store) > now) {
        return;
    }
    LrValueSet *store = LrValueSet_Fork(keeper->store);
    LrValueSet_ExpireHeld(store, now);
    LrActiveCatalogue_Replace(keeper, store, "release");
}

const LrValueSet *
LrActiveCatalogue_Values(const LrActiveCatalogue *keeper)
{
    return keeper->store;
}

int64_t
LrActiveCatalogue_Revision(const LrActiveCatalogue *keeper)
{
    return LrValueSet_Revision(keeper->store);
}

int64_t
LrActiveCatalogue_RefusedRevision(const LrActiveCatalogue *keeper)
{
    return keeper->refused_revision;
}

json_t *
LrActiveCatalogue_Dump(const LrActiveCatalogue *keeper)
{
    LrTime age = keeper->accepted_at > 0
                     ? (LrClock_Now() - keeper->accepted_at) / LR_MILLISECOND
                     : -1;
    return json_pack("{s:I, s:I, s:I, s:s}", "revision",
                     (json_int_t)LrActiveCatalogue_Revision(keeper), "age_ms",
                     (json_int_t)age, "refused_revision",
                     (json_int_t)keeper->refused_revision, "refused_why",
                     keeper->refused_why ? keeper->refused_why : "");
}
