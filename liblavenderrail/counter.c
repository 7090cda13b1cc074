/* Counters and latency histograms of a process, and their exposition in the
 * Prometheus text format. */
#include "lavenderrail.h"

static const LrTime BUCKET_BOUNDS[] = {
    LR_MILLISECOND,       2 * LR_MILLISECOND,
    5 * LR_MILLISECOND,   10 * LR_MILLISECOND,
    20 * LR_MILLISECOND,  50 * LR_MILLISECOND,
    100 * LR_MILLISECOND, 200 * LR_MILLISECOND,
    500 * LR_MILLISECOND, LR_SECOND,
    5 * LR_SECOND,
};

LrCounters *
LrCounters_New(void)
{
    LrCounters *counters = g_new0(LrCounters, 1);
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        counters->answer_latency[i] = LrLatencyHistogram_New();
    }
    counters->attempt_latency = LrLatencyHistogram_New();
    return counters;
}

void
LrCounters_Free(LrCounters *counters)
{
    if (!counters) {
        return;
    }
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        LrLatencyHistogram_Free(counters->answer_latency[i]);
    }
    LrLatencyHistogram_Free(counters->attempt_latency);
    g_free(counters);
}

void
LrCounters_Add(LrCounters *counters, LrCounterId id, uint64_t amount)
{
    if (counters) {
        counters->values[id] += amount;
    }
}

static void
append_histogram(GString *text, const char *name, const char *label,
                 const LrLatencyHistogram *latency)
{
    for (size_t i = 0; i < G_N_ELEMENTS(BUCKET_BOUNDS); i++) {
        g_string_append_printf(
            text, "%s_bucket{class=\"%s\",le=\"%g\"} %" G_GUINT64_FORMAT "\n",
            name, label, (double)BUCKET_BOUNDS[i] / (double)LR_SECOND,
            LrLatencyHistogram_CountBelow(latency, BUCKET_BOUNDS[i]));
    }
    uint64_t count = LrLatencyHistogram_Count(latency);
    g_string_append_printf(
        text, "%s_bucket{class=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
        name, label, count);
    g_string_append_printf(text, "%s_sum{class=\"%s\"} %g\n", name, label,
                           (double)LrLatencyHistogram_Sum(latency) /
                               (double)LR_SECOND);
    g_string_append_printf(text,
                           "%s_count{class=\"%s\"} %" G_GUINT64_FORMAT "\n",
                           name, label, count);
}

char *
LrCounters_ToText(LrCounters *counters)
{
    GString *text = g_string_new(NULL);
    for (size_t i = 0; i < LR_COUNT_COUNT; i++) {
        const char *name = LrCounterId_Names[i];
        g_string_append_printf(text, "# HELP lavenderrail_%s_total %s\n", name,
                               LrCounterId_Help[i]);
        g_string_append_printf(text, "# TYPE lavenderrail_%s_total counter\n",
                               name);
        g_string_append_printf(text,
                               "lavenderrail_%s_total %" G_GUINT64_FORMAT "\n",
                               name, counters->values[i]);
    }
    g_string_append(text, "# TYPE lavenderrail_answer_seconds histogram\n");
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        append_histogram(text, "lavenderrail_answer_seconds",
                         LrTrafficClass_Names[i], counters->answer_latency[i]);
    }
    g_string_append(text, "# TYPE lavenderrail_attempt_seconds histogram\n");
    append_histogram(text, "lavenderrail_attempt_seconds", "all",
                     counters->attempt_latency);
    return g_string_free(text, FALSE);
}
