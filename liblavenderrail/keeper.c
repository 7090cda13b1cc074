/* The catalogue in force. */
#include "keeper.h"

#include <jansson.h>

struct LrKeeper {
    LrKeeperConfig config;
    LrStore *store;
    /* In force; NULL before the first one. */
    LrCatalogue *catalogue;
    LrTime accepted_at;
    int64_t refused_revision;
    char *refused_why;
};

LrKeeper *
LrKeeper_New(const LrKeeperConfig *config)
{
    LrKeeper *keeper = g_new0(LrKeeper, 1);
    keeper->config = *config;
    keeper->store = LrStore_New();
    return keeper;
}

void
LrKeeper_Free(LrKeeper *keeper)
{
    if (!keeper) {
        return;
    }
    LrStore_Free(keeper->store);
    LrCatalogue_Unref(keeper->catalogue);
    g_free(keeper->refused_why);
    g_free(keeper);
}

static void
refuse(LrKeeper *keeper, int64_t revision, const LrFaults *faults,
       const char *source)
{
    keeper->refused_revision = revision;
    g_free(keeper->refused_why);
    keeper->refused_why = LrFaults_ToText(faults);
    LrCounters_Add(keeper->config.counters, LR_COUNT_CATALOGUE_REFUSED, 1);
    LR_LOG(keeper->config.log, LOG_ERR, "catalogue_refused",
           LrLog_Int("revision", revision), LrLog_C("source", source),
           LrLog_C("why", keeper->refused_why));
}

static void
keep(LrKeeper *keeper, LrStore *store)
{
    LrStore_Free(keeper->store);
    keeper->store = store;
}

static void
accept(LrKeeper *keeper, LrStore *store, LrCatalogue *catalogue,
       const char *source)
{
    keep(keeper, store);
    LrCatalogue_Unref(keeper->catalogue);
    keeper->catalogue = LrCatalogue_Ref(catalogue);
    keeper->accepted_at = LrClock_Now();
    LrCounters_Add(keeper->config.counters, LR_COUNT_CATALOGUE_ACCEPTED, 1);
    LR_LOG(keeper->config.log, LOG_NOTICE, "catalogue_accepted",
           LrLog_Int("revision", catalogue->spec.revision),
           LrLog_C("source", source));
    keeper->config.catalogue(keeper->config.data, catalogue);
}

static bool
consider(LrKeeper *keeper, LrStore *store, const char *source, int64_t least)
{
    int64_t revision = LrStore_Revision(store);
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue =
        keeper->config.build(store, keeper->catalogue, faults);
    bool valid = LrFaults_Count(faults) == 0;
    bool taken = valid && revision >= least;
    if (!valid) {
        refuse(keeper, revision, faults, source);
    }
    if (!taken) {
        LrStore_Free(store);
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
LrKeeper_Offer(LrKeeper *keeper, LrStore *store, const char *source)
{
    return consider(keeper, store, source, LrKeeper_Revision(keeper) + 1);
}

bool
LrKeeper_Replace(LrKeeper *keeper, LrStore *store, const char *source)
{
    return consider(keeper, store, source, LrKeeper_Revision(keeper));
}

void
LrKeeper_Release(LrKeeper *keeper, LrTime now)
{
    if (LrStore_NextRelease(keeper->store) > now) {
        return;
    }
    LrStore *store = LrStore_Fork(keeper->store);
    LrStore_Release(store, now);
    LrKeeper_Replace(keeper, store, "release");
}

const LrStore *
LrKeeper_Store(const LrKeeper *keeper)
{
    return keeper->store;
}

int64_t
LrKeeper_Revision(const LrKeeper *keeper)
{
    return LrStore_Revision(keeper->store);
}

int64_t
LrKeeper_RefusedRevision(const LrKeeper *keeper)
{
    return keeper->refused_revision;
}

json_t *
LrKeeper_Dump(const LrKeeper *keeper)
{
    LrTime age = keeper->accepted_at > 0
                     ? (LrClock_Now() - keeper->accepted_at) / LR_MILLISECOND
                     : -1;
    return json_pack("{s:I, s:I, s:I, s:s}", "revision",
                     (json_int_t)LrKeeper_Revision(keeper), "age_ms",
                     (json_int_t)age, "refused_revision",
                     (json_int_t)keeper->refused_revision, "refused_why",
                     keeper->refused_why ? keeper->refused_why : "");
}
