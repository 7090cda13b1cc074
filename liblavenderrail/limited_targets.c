/* Targets that name a rate limit. A limit holds for all daemons, so that each
 * of them keeps a share, and tells its peers of limits that it has heard of.
 */
#include "limited_targets.h"

/* Peers are told what a target said of its limit for this long. */
#define REPORT_TTL (10 * LR_SECOND)

struct LrLimitedTargets {
    LrRandom *random;
    LrLog *log;
    LrCounters *counters;
    /* Targets that name a limit, or have done so recently, and the one that
     * the next batch for peers starts at. */
    GPtrArray *targets;
    guint next;
    /* Number of daemons that send to the targets of a scatter-gather, and of
     * those that send single requests. */
    double n_scatter_senders;
    double n_single_senders;
};

LrLimitedTargets *
LrLimitedTargets_New(LrRandom *random, LrLog *log, LrCounters *counters)
{
    LrLimitedTargets *limited = g_new0(LrLimitedTargets, 1);
    limited->random = random;
    limited->log = log;
    limited->counters = counters;
    limited->targets = g_ptr_array_new();
    return limited;
}

void
LrLimitedTargets_Free(LrLimitedTargets *limited)
{
    if (!limited) {
        return;
    }
    g_ptr_array_unref(limited->targets);
    g_free(limited);
}

bool
LrLimitedTargets_IsEmpty(const LrLimitedTargets *limited)
{
    return limited->targets->len == 0;
}

void
LrLimitedTargets_Remove(LrLimitedTargets *limited, LrTarget *target)
{
    g_ptr_array_remove_fast(limited->targets, target);
}

/* Number of daemons that a target's limit is divided by. */
static double
count_senders(const LrLimitedTargets *limited, const LrTarget *target)
{
    for (guint i = 0; i < target->groups->len; i++) {
        const LrGroup *group = target->groups->pdata[i];
        if (group->n_senders > 0) {
            return (double)group->n_senders;
        }
        if (group->map->n_groups > 1) {
            return limited->n_scatter_senders;
        }
    }
    return limited->n_single_senders;
}

static void
log_limit(const LrLimitedTargets *limited, const LrTarget *target,
          const char *source, LrTime now)
{
    const LrRateLimit *limit = &target->rate_limit;
    g_autofree char *per_second =
        limit->limited ? g_strdup_printf("%.2f", limit->per_second)
                       : g_strdup("none");
    g_autofree char *share = g_strdup_printf("%.2f", LrRateLimit_Share(limit));
    g_autofree char *sent =
        g_strdup_printf("%.2f", LrRateLimit_SendRate(limit, now));
    LR_LOG(limited->log, LOG_NOTICE, "target_limit",
           LrLog_Str("target", target->name), LrLog_CStr("per_s", per_second),
           LrLog_CStr("share_per_s", share), LrLog_CStr("sent_per_s", sent),
           LrLog_CStr("source", source));
}

static void
apply_report(LrLimitedTargets *limited, LrTarget *target,
             const LrRateReport *report, LrTime sent_at, LrTime reported_at,
             LrTime now, const char *source)
{
    LrRateLimit *limit = &target->rate_limit;
    bool was_limited = limit->limited;
    bool notable = LrRateLimit_Apply(limit, report, sent_at, reported_at, now);
    if (limit->limited && !was_limited) {
        limit->n_senders = count_senders(limited, target);
        LrRateLimit_ResetTokens(limit, LrRandom_Uniform(limited->random), now);
        if (!g_ptr_array_find(limited->targets, target, NULL)) {
            g_ptr_array_add(limited->targets, target);
        }
    }
    if (notable) {
        LrCounters_Add(limited->counters, LR_COUNT_TARGET_LIMITS, 1);
        log_limit(limited, target, source, now);
    }
}

void
LrLimitedTargets_OnReport(LrLimitedTargets *limited, LrTarget *target,
                          const LrRateReport *report, LrTime sent_at,
                          LrTime now)
{
    if (report->kind == LR_RATE_REPORT_INVALID) {
        LR_LOG(limited->log, LOG_INFO, "target_limit_invalid",
               LrLog_Str("target", target->name));
        return;
    }
    apply_report(limited, target, report, sent_at, now, now, "reply");
}

void
LrLimitedTargets_OnPeerReport(LrLimitedTargets *limited, LrTarget *target,
                              const LrTargetLimitMsg *row, LrTime now)
{
    LrTime reported_at = now - row->age_ms * LR_MILLISECOND;
    if (reported_at <= target->rate_limit.reported_at) {
        return;
    }
    LrRateReport report = {
        .kind =
            row->limited ? LR_RATE_REPORT_LIMITED : LR_RATE_REPORT_UNLIMITED,
        .per_second = row->per_s,
    };
    apply_report(limited, target, &report, reported_at, reported_at, now,
                 "peer");
}

/* Whether peers need not be told of the target any more. */
static bool
is_outdated(const LrTarget *target, LrTime now)
{
    const LrRateLimit *limit = &target->rate_limit;
    LrTime since = limit->limited ? limit->reported_at : limit->ended_at;
    return now - since > REPORT_TTL;
}

static void
drop_ended(LrLimitedTargets *limited, LrTime now)
{
    for (guint i = limited->targets->len; i > 0; i--) {
        const LrTarget *target = limited->targets->pdata[i - 1];
        if (!target->rate_limit.limited && is_outdated(target, now)) {
            g_ptr_array_remove_index_fast(limited->targets, i - 1);
        }
    }
}

size_t
LrLimitedTargets_NextBatch(LrLimitedTargets *limited, LrTime now,
                           LrTargetLimitMsg *out, size_t max)
{
    drop_ended(limited, now);
    guint n_targets = limited->targets->len;
    size_t n = 0;
    for (guint i = 0; i < n_targets && n < max; i++) {
        const LrTarget *target =
            limited->targets->pdata[limited->next++ % n_targets];
        if (is_outdated(target, now)) {
            continue;
        }
        const LrRateLimit *limit = &target->rate_limit;
        out[n++] = (LrTargetLimitMsg){
            .target = target->key,
            .limited = limit->limited,
            .per_s = limit->per_second,
            .age_ms = (now - limit->reported_at) / LR_MILLISECOND,
        };
    }
    return n;
}

void
LrLimitedTargets_SetSenders(LrLimitedTargets *limited, double n_scatter,
                            double n_single, LrTime now)
{
    limited->n_scatter_senders = n_scatter;
    limited->n_single_senders = n_single;
    for (guint i = 0; i < limited->targets->len; i++) {
        LrTarget *target = limited->targets->pdata[i];
        LrRateLimit_SetSenders(&target->rate_limit,
                               count_senders(limited, target), now);
    }
}
