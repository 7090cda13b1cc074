/* Recent latencies as a log-scale histogram of two alternating windows. */
#include "lavenderrail.h"

#include <math.h>

#include <gsl/gsl_histogram.h>

enum {
    BINS = 400,
    WINDOW_SAMPLES = 4096,
    MIN_SAMPLES = 32,
    CACHE_SLOTS = 4,
    REFRESH_SAMPLES = 64,
};

#define LOWEST_NS 1e3
#define HIGHEST_NS 1e11

typedef struct {
    double quantile;
    LrTime value;
    uint64_t at_count;
} CachedQuantile;

struct LrLatencyHistogram {
    gsl_histogram *windows[2];
    gsl_histogram *total;
    unsigned current;
    unsigned in_window;
    uint64_t count;
    LrTime sum;
    CachedQuantile cache[CACHE_SLOTS];
};

static gsl_histogram *
new_histogram(void)
{
    gsl_histogram *histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges_uniform(histogram, log(LOWEST_NS),
                                     log(HIGHEST_NS));
    return histogram;
}

LrLatencyHistogram *
LrLatencyHistogram_New(void)
{
    LrLatencyHistogram *latency = g_new0(LrLatencyHistogram, 1);
    latency->windows[0] = new_histogram();
    latency->windows[1] = new_histogram();
    latency->total = new_histogram();
    return latency;
}

void
LrLatencyHistogram_Free(LrLatencyHistogram *latency)
{
    if (!latency) {
        return;
    }
    gsl_histogram_free(latency->windows[0]);
    gsl_histogram_free(latency->windows[1]);
    gsl_histogram_free(latency->total);
    g_free(latency);
}

void
LrLatencyHistogram_Add(LrLatencyHistogram *latency, LrTime value)
{
    double ns = CLAMP((double)value, LOWEST_NS, HIGHEST_NS * 0.999);
    double x = log(ns);
    if (latency->in_window == WINDOW_SAMPLES) {
        latency->current ^= 1;
        latency->in_window = 0;
        gsl_histogram_reset(latency->windows[latency->current]);
    }
    gsl_histogram_increment(latency->windows[latency->current], x);
    gsl_histogram_increment(latency->total, x);
    latency->in_window++;
    latency->count++;
    latency->sum += value;
}

static LrTime
find_quantile(const LrLatencyHistogram *latency, double quantile)
{
    const gsl_histogram *a = latency->windows[0];
    const gsl_histogram *b = latency->windows[1];
    double total = gsl_histogram_sum(a) + gsl_histogram_sum(b);
    double rank = total * quantile;
    double seen = 0;
    for (size_t i = 0; i < BINS; i++) {
        seen += gsl_histogram_get(a, i) + gsl_histogram_get(b, i);
        if (seen >= rank) {
            return (LrTime)exp(a->range[i + 1]);
        }
    }
    return (LrTime)HIGHEST_NS;
}

static CachedQuantile *
cache_slot(LrLatencyHistogram *latency, double quantile)
{
    for (size_t i = 0; i < CACHE_SLOTS; i++) {
        CachedQuantile *slot = &latency->cache[i];
        if (slot->quantile == quantile || slot->at_count == 0) {
            return slot;
        }
    }
    return &latency->cache[0];
}

LrTime
LrLatencyHistogram_Quantile(LrLatencyHistogram *latency, double quantile,
                            LrTime fallback)
{
    if (latency->count < MIN_SAMPLES) {
        return fallback;
    }
    CachedQuantile *slot = cache_slot(latency, quantile);
    bool fresh = slot->at_count > 0 && slot->quantile == quantile &&
                 latency->count - slot->at_count < REFRESH_SAMPLES;
    if (!fresh) {
        slot->quantile = quantile;
        slot->value = find_quantile(latency, quantile);
        slot->at_count = latency->count;
    }
    return slot->value;
}

uint64_t
LrLatencyHistogram_Count(const LrLatencyHistogram *latency)
{
    return latency->count;
}

uint64_t
LrLatencyHistogram_CountBelow(const LrLatencyHistogram *latency, LrTime bound)
{
    double limit = log((double)bound);
    double seen = 0;
    for (size_t i = 0; i < BINS; i++) {
        if (latency->total->range[i + 1] > limit) {
            break;
        }
        seen += gsl_histogram_get(latency->total, i);
    }
    return (uint64_t)seen;
}

LrTime
LrLatencyHistogram_Sum(const LrLatencyHistogram *latency)
{
    return latency->sum;
}
