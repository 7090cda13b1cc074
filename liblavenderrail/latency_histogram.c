/* Histogram of recent latencies on a log scale, in two alternating windows. */
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
    uint64_t computed_at_count;
} CachedQuantile;

struct LrLatencyHistogram {
    gsl_histogram *windows[2];
    gsl_histogram *total;
    unsigned current;
    unsigned n_in_window;
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
    LrLatencyHistogram *histogram = g_new0(LrLatencyHistogram, 1);
    histogram->windows[0] = new_histogram();
    histogram->windows[1] = new_histogram();
    histogram->total = new_histogram();
    return histogram;
}

void
LrLatencyHistogram_Free(LrLatencyHistogram *histogram)
{
    if (!histogram) {
        return;
    }
    gsl_histogram_free(histogram->windows[0]);
    gsl_histogram_free(histogram->windows[1]);
    gsl_histogram_free(histogram->total);
    g_free(histogram);
}

void
LrLatencyHistogram_Add(LrLatencyHistogram *histogram, LrTime value)
{
    double ns = CLAMP((double)value, LOWEST_NS, HIGHEST_NS * 0.999);
    double x = log(ns);
    if (histogram->n_in_window == WINDOW_SAMPLES) {
        histogram->current ^= 1;
        histogram->n_in_window = 0;
        gsl_histogram_reset(histogram->windows[histogram->current]);
    }
    gsl_histogram_increment(histogram->windows[histogram->current], x);
    gsl_histogram_increment(histogram->total, x);
    histogram->n_in_window++;
    histogram->count++;
    histogram->sum += value;
}

static LrTime
compute_quantile(const LrLatencyHistogram *histogram, double quantile)
{
    const gsl_histogram *a = histogram->windows[0];
    const gsl_histogram *b = histogram->windows[1];
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
cache_slot(LrLatencyHistogram *histogram, double quantile)
{
    for (size_t i = 0; i < CACHE_SLOTS; i++) {
        CachedQuantile *slot = &histogram->cache[i];
        if (slot->quantile == quantile || slot->computed_at_count == 0) {
            return slot;
        }
    }
    return &histogram->cache[0];
}

LrTime
LrLatencyHistogram_Quantile(LrLatencyHistogram *histogram, double quantile,
                            LrTime fallback)
{
    if (histogram->count < MIN_SAMPLES) {
        return fallback;
    }
    CachedQuantile *slot = cache_slot(histogram, quantile);
    bool fresh = slot->computed_at_count > 0 && slot->quantile == quantile &&
                 histogram->count - slot->computed_at_count < REFRESH_SAMPLES;
    if (!fresh) {
        slot->quantile = quantile;
        slot->value = compute_quantile(histogram, quantile);
        slot->computed_at_count = histogram->count;
    }
    return slot->value;
}

uint64_t
LrLatencyHistogram_Count(const LrLatencyHistogram *histogram)
{
    return histogram->count;
}

uint64_t
LrLatencyHistogram_CountBelow(const LrLatencyHistogram *histogram,
                              LrTime bound)
{
    double limit = log((double)bound);
    double seen = 0;
    for (size_t i = 0; i < BINS; i++) {
        if (histogram->total->range[i + 1] > limit) {
            break;
        }
        seen += gsl_histogram_get(histogram->total, i);
    }
    return (uint64_t)seen;
}

LrTime
LrLatencyHistogram_Sum(const LrLatencyHistogram *histogram)
{
    return histogram->sum;
}
