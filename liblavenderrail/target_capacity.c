/* Learned capacity of one target: its speed when it is not loaded, and how
 * many requests at once, of all daemons together, it serves without slowing
 * down.
 *
 * Addresses services whose targets differ in speed, or slow down long before
 * their slots are full, so that weights in the configuration do not fit.
 *
 * Each reply is a sample for the load level at which it ran: the number of
 * requests that were running at the target. A level holds the slowness, which
 * is the logarithm of the latency over the typical latency. It follows samples
 * at a bounded rate in time, not in samples, so that a short disturbance moves
 * it by the same little amount however often this daemon uses the target.
 * Since more load never makes a target faster, a monotone curve is fitted
 * through the levels: its start is the unloaded slowness, and the knee is
 * where it rises by more than KNEE_RISE above the start. */
#include "lavenderrail.h"

#include <math.h>

/* Rise of the slowness above the unloaded one that counts as slowing down: a
 * latency that is 1.35 times as long. */
#define KNEE_RISE 0.3
/* Change of a level per second. Noise of 600 ms moves it by 0.24, which is
 * below KNEE_RISE. */
#define SLOW_RATE 0.4
/* Change per second while all samples have deviated to the same side for
 * longer than CHANGE_TIME, which is longer than noise lasts. */
#define FAST_RATE 2.0
#define CHANGE_TIME (800 * LR_MILLISECOND)
/* Samples that deviate by more count like this deviation, so that a pause of
 * the target has little weight. */
#define MAX_DEVIATION 0.5
/* Longest time since the previous sample of a level that a sample stands for.
 */
#define MAX_SAMPLE_TIME (250 * LR_MILLISECOND)
/* A sample that stands for at least this time has the weight of one in the
 * mean of the samples so far, while they are few. */
#define MIN_SAMPLE_TIME (100 * LR_MILLISECOND)
/* Weight of the second consecutive sample that is much faster than what is
 * known: disturbances make a target slower, never faster. */
#define RECOVERY_GAIN 0.9
/* Bounds of the ratio of latency and typical latency. */
#define MAX_RATIO 100.0
/* Time after which knowledge that is not renewed decays, the time constant of
 * that, and the one with which a level loses its weight in the fit. */
#define DECAY_DELAY (2 * LR_SECOND)
#define DECAY_NS 5e9
#define WEIGHT_DECAY_NS 10e9
/* Weight of a level in the fit grows with its samples up to this number, each
 * counted by the time that it stands for. */
#define MAX_WEIGHT 8.0
/* Time constants of the mean of the reported number of running requests, of
 * the weight of the last report against that mean, and of the mean's decay
 * without reports. Requests take some ten milliseconds, so that a single
 * report is soon outdated. */
#define RUNNING_MEAN_NS 300e6
#define RUNNING_LAST_NS 20e6
#define RUNNING_DECAY_NS 2e9
/* Age up to which a report tells what runs at a target when a request is
 * sent. */
#define FRESH_REPORT_TIME (50 * LR_MILLISECOND)
/* Bound of the factor by which load is expected to prolong a request. */
#define MAX_LOAD_FACTOR 4.0
/* A target that is slower than this when not loaded is probed. */
#define SLOW_TARGET 0.6
/* Time between probes of a target by one daemon. While they find it as slow as
 * before, it is at least this multiple of the expected latency; once a sample
 * was much faster than what is known, further probes cost callers no time. */
#define PROBE_INTERVAL (300 * LR_MILLISECOND)
#define PROBE_INTERVAL_RATIO 40.0
/* Number of daemons from which on the interval grows in proportion, so that
 * all daemons together send at most 27 probes per second to a target. */
#define PROBE_SENDERS 8.0
/* A request is used as a probe only if its caller would wait that many times
 * longer than the target is expected to take. */
#define PROBE_SLACK_RATIO 3.0
/* Requests of this daemon that other replicas get between two probes of a
 * target, or the time between them where the daemon sends few and the target
 * is slow at any load: as few callers meet a slow target as did when its
 * latency was just forgotten after some seconds. One that is only slow under
 * load is in use below its knee, so that there is less hurry. */
#define PROBE_REQUESTS 150
#define MAX_PROBE_INTERVAL (3 * LR_SECOND)
/* Requests more than the learned concurrency that a probe may meet. */
#define PROBE_STEP 1.5
#define PROBE_DISTANCE 0.5

/* Highest number of running requests that belongs to a level. */
static const double LEVEL_LOADS[LR_CAPACITY_LEVELS] = {1, 2, 3,  4,
                                                       6, 8, 12, 16};

/* Levels that the fit found to have the same slowness. */
typedef struct {
    double slowness;
    double weight;
    size_t last;
} Block;

/* Requests per unit of LEVEL_LOADS. */
static double
load_unit(const LrTargetCapacity *capacity)
{
    return MAX(1, capacity->slots / LEVEL_LOADS[LR_CAPACITY_LEVELS - 1]);
}

static double
most_running(const LrTargetCapacity *capacity)
{
    return capacity->slots > 0 ? capacity->slots : LR_CAPACITY_MAX_SLOTS;
}

static size_t
level_of(const LrTargetCapacity *capacity, double running)
{
    double load = running / load_unit(capacity);
    size_t level = 0;
    while (level + 1 < LR_CAPACITY_LEVELS && load > LEVEL_LOADS[level]) {
        level++;
    }
    return level;
}

static double
decay(LrTime since, LrTime now, double time_constant)
{
    double age = (double)MAX(0, now - since);
    return exp(-age / time_constant);
}

/* What is left of knowledge that was last renewed at a time. */
static double
kept_knowledge(LrTime renewed_at, LrTime now)
{
    return decay(renewed_at + DECAY_DELAY, now, DECAY_NS);
}

/* Slowness expected at a level before its first sample: that of the next lower
 * level that has samples. */
static double
predict(const LrTargetCapacity *capacity, size_t level)
{
    for (size_t i = level; i-- > 0;) {
        if (capacity->levels[i].sampled_at != 0) {
            return capacity->levels[i].slowness;
        }
    }
    return capacity->unloaded;
}

static void
add_sample(LrTargetCapacity *capacity, LrCapacityLevel *level, LrTime now,
           double slowness)
{
    LrTime time = MAX_SAMPLE_TIME;
    if (level->sampled_at == 0) {
        size_t index = (size_t)(level - capacity->levels);
        level->slowness = predict(capacity, index);
        level->deviates_since = now;
    }
    else {
        time = CLAMP(now - level->sampled_at, 0, MAX_SAMPLE_TIME);
    }
    double deviation = slowness - level->slowness;
    int side = fabs(deviation) <= MAX_DEVIATION ? 0 : deviation > 0 ? 1 : -1;
    capacity->recovered =
        side < 0 && level->side < 0 && time >= MIN_SAMPLE_TIME;
    if (side != level->side || side == 0) {
        level->side = side;
        level->deviates_since = now;
    }
    bool changed = now - level->deviates_since > CHANGE_TIME;
    double rate = changed ? FAST_RATE : SLOW_RATE;
    double gain = rate / MAX_DEVIATION * (double)time / (double)LR_SECOND;
    if (time >= MIN_SAMPLE_TIME) {
        gain = MAX(gain, 1 / (level->weight + 2));
    }
    level->slowness +=
        capacity->recovered
            ? RECOVERY_GAIN * deviation
            : gain * CLAMP(deviation, -MAX_DEVIATION, MAX_DEVIATION);
    level->weight += (double)time / (double)MAX_SAMPLE_TIME;
    level->weight = MIN(MAX_WEIGHT, level->weight);
    level->sampled_at = now;
}

/* Fits a monotone curve through the levels that have samples (pool adjacent
 * violators); returns the number of blocks. */
static size_t
fit_levels(const LrTargetCapacity *capacity, LrTime now,
           Block blocks[LR_CAPACITY_LEVELS])
{
    size_t n = 0;
    for (size_t i = 0; i < LR_CAPACITY_LEVELS; i++) {
        const LrCapacityLevel *level = &capacity->levels[i];
        if (level->sampled_at == 0) {
            continue;
        }
        blocks[n++] = (Block){
            .slowness = level->slowness,
            .weight =
                level->weight * decay(level->sampled_at, now, WEIGHT_DECAY_NS),
            .last = i,
        };
        while (n > 1 && blocks[n - 2].slowness >= blocks[n - 1].slowness) {
            Block *into = &blocks[n - 2];
            const Block *from = &blocks[n - 1];
            double weight = into->weight + from->weight;
            into->slowness = (into->slowness * into->weight +
                              from->slowness * from->weight) /
                             MAX(weight, G_MINDOUBLE);
            into->weight = weight;
            into->last = from->last;
            n--;
        }
    }
    return n;
}

/* Derives the unloaded slowness and the knee from the levels. */
static void
find_knee(LrTargetCapacity *capacity, LrTime now)
{
    Block blocks[LR_CAPACITY_LEVELS];
    size_t n = fit_levels(capacity, now, blocks);
    capacity->unloaded = blocks[0].slowness;
    capacity->beyond = blocks[0].slowness;
    capacity->knee = 0;
    double unit = load_unit(capacity);
    double load = LEVEL_LOADS[0];
    double rise = 0;
    size_t block = 0;
    for (size_t i = 0; i < LR_CAPACITY_LEVELS; i++) {
        if (capacity->levels[i].sampled_at == 0) {
            continue;
        }
        block += i > blocks[block].last && block + 1 < n;
        double next = (blocks[block].slowness - capacity->unloaded) *
                      kept_knowledge(capacity->levels[i].sampled_at, now);
        if (next > KNEE_RISE) {
            double share = (KNEE_RISE - rise) / (next - rise);
            double knee = load + (LEVEL_LOADS[i] - load) * share;
            capacity->knee = MAX(1, unit * knee);
            capacity->beyond = capacity->unloaded + next;
            capacity->rise = (exp(next) - 1) /
                             MAX(1, unit * LEVEL_LOADS[i] - capacity->knee);
            return;
        }
        load = LEVEL_LOADS[i];
        rise = MAX(rise, next);
    }
}

void
LrTargetCapacity_SetSlots(LrTargetCapacity *capacity, double slots)
{
    if (!isfinite(slots) || slots < 1 || slots == capacity->slots) {
        return;
    }
    double unit = load_unit(capacity);
    capacity->slots = MIN(slots, LR_CAPACITY_MAX_SLOTS);
    if (load_unit(capacity) != unit) {
        /* The levels stand for other numbers of requests now. */
        memset(capacity->levels, 0, sizeof(capacity->levels));
        capacity->knee = 0;
    }
}

void
LrTargetCapacity_OnReply(LrTargetCapacity *capacity, LrTime now,
                         LrTime latency, LrTime typical, double running)
{
    if (typical <= 0 || latency < 0 || !isfinite(running)) {
        return;
    }
    double load = CLAMP(running, 1, most_running(capacity));
    double ratio =
        CLAMP((double)latency / (double)typical, 1 / MAX_RATIO, MAX_RATIO);
    add_sample(capacity, &capacity->levels[level_of(capacity, load)], now,
               log(ratio));
    find_knee(capacity, now);
    capacity->replied_at = now;
}

void
LrTargetCapacity_OnReport(LrTargetCapacity *capacity, LrTime now,
                          double running)
{
    if (!isfinite(running)) {
        return;
    }
    double load = CLAMP(running, 0, most_running(capacity));
    double kept = decay(capacity->reported_at, now, RUNNING_MEAN_NS);
    capacity->mean_running = load + (capacity->mean_running - load) * kept;
    capacity->last_running = load;
    capacity->reported_at = now;
}

double
LrTargetCapacity_Concurrency(const LrTargetCapacity *capacity, LrTime now)
{
    if (capacity->knee == 0) {
        return capacity->slots;
    }
    double kept = kept_knowledge(capacity->replied_at, now);
    if (capacity->slots == 0) {
        return capacity->knee / MAX(kept, G_MINDOUBLE);
    }
    double knee = MIN(capacity->knee, capacity->slots);
    return capacity->slots - (capacity->slots - knee) * kept;
}

double
LrTargetCapacity_Slowness(const LrTargetCapacity *capacity, LrTime now)
{
    if (capacity->unloaded == 0) {
        return 1;
    }
    return exp(capacity->unloaded * kept_knowledge(capacity->replied_at, now));
}

bool
LrTargetCapacity_HasFreshReport(const LrTargetCapacity *capacity, LrTime now)
{
    return capacity->reported_at != 0 &&
           now - capacity->reported_at <= FRESH_REPORT_TIME;
}

double
LrTargetCapacity_Running(const LrTargetCapacity *capacity, LrTime now)
{
    if (capacity->reported_at == 0) {
        return 0;
    }
    double last = decay(capacity->reported_at, now, RUNNING_LAST_NS);
    double mean = capacity->mean_running *
                  decay(capacity->reported_at, now, RUNNING_DECAY_NS);
    return mean + (capacity->last_running - mean) * last;
}

double
LrTargetCapacity_LoadFactor(const LrTargetCapacity *capacity, LrTime now,
                            double running)
{
    if (capacity->knee == 0) {
        return 1;
    }
    double above = running - LrTargetCapacity_Concurrency(capacity, now);
    return CLAMP(1 + above * capacity->rise, 1, MAX_LOAD_FACTOR);
}

bool
LrTargetCapacity_IsReduced(const LrTargetCapacity *capacity)
{
    bool knee = capacity->knee > 0 && capacity->knee < capacity->slots;
    return knee || capacity->unloaded > SLOW_TARGET;
}

bool
LrTargetCapacity_IsProbeDue(const LrTargetCapacity *capacity, LrTime now,
                            uint32_t in_flight, double n_senders,
                            LrTime typical, LrTime slack)
{
    if (!LrTargetCapacity_IsReduced(capacity)) {
        return false;
    }
    double concurrency = LrTargetCapacity_Concurrency(capacity, now);
    double next =
        MAX(LrTargetCapacity_Running(capacity, now), (double)in_flight) + 1;
    bool slow = capacity->unloaded > SLOW_TARGET && next <= concurrency;
    bool step = next > concurrency - PROBE_DISTANCE &&
                next <= concurrency + PROBE_STEP;
    const LrCapacityLevel *level = &capacity->levels[level_of(capacity, next)];
    double expected = (double)typical * exp(capacity->beyond);
    double interval = (double)PROBE_INTERVAL;
    if (level->side >= 0) {
        bool seldom = capacity->n_passed_over < PROBE_REQUESTS;
        step = step && !seldom;
        interval = seldom ? (double)MAX_PROBE_INTERVAL
                          : MAX(interval, PROBE_INTERVAL_RATIO * expected);
    }
    interval *= MAX(1, n_senders / PROBE_SENDERS);
    LrTime known_at = MAX(capacity->probed_at, level->sampled_at);
    return (slow || step) && (double)(now - known_at) >= interval &&
           PROBE_SLACK_RATIO * expected <= (double)slack;
}

void
LrTargetCapacity_OnPassedOver(LrTargetCapacity *capacity)
{
    capacity->n_passed_over++;
}

void
LrTargetCapacity_OnProbe(LrTargetCapacity *capacity, LrTime now)
{
    capacity->probed_at = now;
    capacity->n_passed_over = 0;
}

int
LrTargetCapacity_UpdateLow(LrTargetCapacity *capacity, LrTime now)
{
    double share =
        capacity->slots > 0
            ? LrTargetCapacity_Concurrency(capacity, now) / capacity->slots
            : 1;
    if (!capacity->low && share < LR_CAPACITY_LOW_SHARE) {
        capacity->low = true;
        return 1;
    }
    if (capacity->low && share >= LR_CAPACITY_RESTORED_SHARE) {
        capacity->low = false;
        return -1;
    }
    return 0;
}
