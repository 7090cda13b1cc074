/* lr-bench scale: how costs grow, measured on one machine with the real
 * modules, and what they come to at the planned size. */
#include "bench.h"

#include <malloc.h>
#include <math.h>
#include <stdlib.h>
#include <time.h>

#include <argtable2.h>
#include <gsl/gsl_fit.h>

enum { OPTION_MAX_ERRORS = 10, MAX_POINTS = 8, N_ZONES = 10 };

#define PLANNED_DAEMONS 650.0
#define PLANNED_TARGETS 4100.0
#define PLANNED_ENTRIES 2000.0
#define PLANNED_FAN_OUT 250.0
#define INTERVAL (500 * LR_MILLISECOND)
#define MAX_DELAY_MS 20

static double
cpu_ns(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec * 1e9 + (double)at.tv_nsec;
}

static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)info.uordblks + (double)info.hblkhd;
}

typedef struct {
    const char *name;
    const char *unit;
    double planned;
    double x[MAX_POINTS];
    double y[MAX_POINTS];
    size_t n;
} Slope;

static void
add_point(Slope *slope, double x, double y)
{
    slope->x[slope->n] = x;
    slope->y[slope->n] = y;
    slope->n++;
}

static void
print_slope(const Slope *slope)
{
    double base;
    double rate;
    double cov00;
    double cov01;
    double cov11;
    double squares;
    gsl_fit_linear(slope->x, 1, slope->y, 1, slope->n, &base, &rate, &cov00,
                   &cov01, &cov11, &squares);
    printf("slope=%s unit=%s points=", slope->name, slope->unit);
    for (size_t i = 0; i < slope->n; i++) {
        printf("%s%g:%.4g", i ? "," : "", slope->x[i], slope->y[i]);
    }
    printf(" base=%.4g rate=%.4g residual=%.3g at_planned=%.4g\n", base, rate,
           sqrt(squares / (double)slope->n), base + rate * slope->planned);
}

/* Many membership machines in one process, under virtual time. */
typedef struct Fleet Fleet;

typedef struct {
    Fleet *fleet;
    LrMembers *members;
    char *name;
    char *address;
    int64_t revision;
    bool service_cut;
} Peer;

typedef struct {
    Fleet *fleet;
    Peer *to;
    GByteArray *frame;
    LrTimer timer;
} Flight;

struct Fleet {
    Peer *peers;
    size_t n;
    GHashTable *by_address;
    LrTimers *timers;
    LrRandom *random;
    LrTime now;
    uint64_t n_messages;
    uint64_t n_bytes;
};

static void
on_arrival(void *data, LrTime now)
{
    Flight *flight = data;
    LrArena *arena = LrArena_New();
    LrProbeMsg message;
    LrStr frame = {.ptr = (const char *)flight->frame->data,
                   .len = flight->frame->len};
    if (LrRecord_Unpack(&LrProbeMsg_Descriptor, frame, &message, arena,
                        NULL)) {
        Peer *peer = flight->to;
        LrMembers_OnProbe(peer->members, &message, now);
        /* Stands for asking the sender and taking its delta. */
        if (message.revision > peer->revision) {
            peer->revision = message.revision;
            LrMembers_SetCatalogue(peer->members, peer->revision, 0);
        }
    }
    LrArena_Free(arena);
    g_byte_array_unref(flight->frame);
    g_free(flight);
}

static void
send_probe(void *data, LrStr address, const LrProbeMsg *message)
{
    Peer *from = data;
    Fleet *fleet = from->fleet;
    g_autofree char *key = LrStr_Dup(address);
    Flight *flight = g_new0(Flight, 1);
    flight->fleet = fleet;
    flight->to = g_hash_table_lookup(fleet->by_address, key);
    flight->frame = g_byte_array_new();
    flight->timer = (LrTimer){.func = on_arrival, .data = flight};
    LrRecord_Pack(&LrProbeMsg_Descriptor, message, flight->frame);
    fleet->n_messages++;
    fleet->n_bytes += flight->frame->len;
    LrTime delay =
        (1 + LrRandom_Below(fleet->random, MAX_DELAY_MS)) * LR_MILLISECOND;
    LrTimers_Arm(fleet->timers, &flight->timer, fleet->now + delay);
}

typedef struct {
    Peer *peer;
    LrTimer timer;
} Tick;

static void
on_tick(void *data, LrTime now)
{
    Tick *tick = data;
    LrMembers_Tick(tick->peer->members, now);
    LrTimers_Arm(tick->peer->fleet->timers, &tick->timer, now + INTERVAL);
}

static LrHostList *
host_list(size_t n)
{
    GString *text = g_string_new("{\"revision\":1,\"hosts\":[");
    for (size_t i = 0; i < n; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"daemon-%04zu\",\"zone\":"
                               "\"zone-%zu\",\"role\":\"daemon\","
                               "\"address\":\"127.0.0.1:%zu\"}",
                               i ? "," : "", i, i % N_ZONES, 1000 + i);
    }
    g_string_append(text, "]}");
    LrFaults *faults = LrFaults_New();
    LrHostList *list =
        LrHostList_Parse((LrStr){.ptr = text->str, .len = text->len}, faults);
    LrFaults_Free(faults);
    g_string_free(text, TRUE);
    return list;
}

static void
init_peer(Fleet *fleet, size_t i, const LrHostList *list)
{
    static const char *const zones[N_ZONES] = {
        "zone-0", "zone-1", "zone-2", "zone-3", "zone-4",
        "zone-5", "zone-6", "zone-7", "zone-8", "zone-9"};
    Peer *peer = &fleet->peers[i];
    peer->fleet = fleet;
    peer->name = g_strdup_printf("daemon-%04zu", i);
    peer->address = g_strdup_printf("127.0.0.1:%zu", 1000 + i);
    peer->revision = 1;
    peer->service_cut = i % 2 == 1;
    LrMembersConfig config = {
        .name = LrStr_FromC(peer->name),
        .zone = LrStr_FromC(zones[i % N_ZONES]),
        .address = LrStr_FromC(peer->address),
        .incarnation = 1,
        .probe_interval = INTERVAL,
        .random = fleet->random,
        .send = send_probe,
        .data = peer,
    };
    peer->members = LrMembers_New(&config, fleet->now);
    LrMembers_SetCatalogue(peer->members, 1, 0);
    LrMembers_OnHosts(peer->members, list, fleet->now);
    g_hash_table_insert(fleet->by_address, peer->address, peer);
}

static void
run_until(Fleet *fleet, LrTime until)
{
    while (LrTimers_NextDue(fleet->timers) <= until) {
        fleet->now = LrTimers_NextDue(fleet->timers);
        LrTimers_FireDue(fleet->timers, fleet->now);
    }
    fleet->now = until;
}

/* Seconds until a change that two readers of each zone with the service in
 * reach took up is known to all, with the service cut from half of them. */
static double
spread_seconds(Fleet *fleet)
{
    for (size_t i = 0; i < fleet->n; i++) {
        Peer *peer = &fleet->peers[i];
        if (!peer->service_cut && LrMembers_ZoneRank(peer->members) < 2) {
            peer->revision = 2;
            LrMembers_SetCatalogue(peer->members, 2, 0);
        }
    }
    LrTime start = fleet->now;
    for (;;) {
        size_t n_behind = 0;
        for (size_t i = 0; i < fleet->n; i++) {
            n_behind += fleet->peers[i].revision < 2;
        }
        if (n_behind == 0 || fleet->now - start > 120 * LR_SECOND) {
            return (double)(fleet->now - start) / (double)LR_SECOND;
        }
        run_until(fleet, fleet->now + 20 * LR_MILLISECOND);
    }
}

typedef struct {
    double bytes_per_s;
    double messages_per_s;
    double cpu_share;
    double memory;
    double spread_s;
} FleetCost;

static FleetCost
measure_fleet(size_t n)
{
    Fleet fleet = {
        .n = n,
        .timers = LrTimers_New(),
        .random = LrRandom_New(7),
        .by_address = g_hash_table_new(g_str_hash, g_str_equal),
        .now = LR_SECOND,
    };
    LrHostList *list = host_list(n);
    double heap = heap_bytes();
    fleet.peers = g_new0(Peer, n);
    Tick *ticks = g_new0(Tick, n);
    for (size_t i = 0; i < n; i++) {
        init_peer(&fleet, i, list);
        ticks[i].peer = &fleet.peers[i];
        ticks[i].timer = (LrTimer){.func = on_tick, .data = &ticks[i]};
        LrTime first = LrRandom_Below(fleet.random, 500) * LR_MILLISECOND;
        LrTimers_Arm(fleet.timers, &ticks[i].timer, fleet.now + first);
    }
    FleetCost cost = {.memory = (heap_bytes() - heap) / (double)n};
    run_until(&fleet, 40 * LR_SECOND);
    uint64_t bytes = fleet.n_bytes;
    uint64_t messages = fleet.n_messages;
    double cpu = cpu_ns();
    run_until(&fleet, 60 * LR_SECOND);
    double span = 20.0 * (double)n;
    cost.cpu_share = (cpu_ns() - cpu) / 1e9 / span;
    cost.bytes_per_s = (double)(fleet.n_bytes - bytes) / span;
    cost.messages_per_s = (double)(fleet.n_messages - messages) / span;
    cost.spread_s = spread_seconds(&fleet);
    for (size_t i = 0; i < n; i++) {
        LrMembers_Free(fleet.peers[i].members);
        g_free(fleet.peers[i].name);
        g_free(fleet.peers[i].address);
    }
    g_free(fleet.peers);
    g_free(ticks);
    LrHostList_Free(list);
    LrTimers_Free(fleet.timers);
    LrRandom_Free(fleet.random);
    g_hash_table_unref(fleet.by_address);
    return cost;
}

static void
scale_fleet(void)
{
    static const size_t sizes[] = {8, 40, 100, 200, 400, 650};
    Slope bytes = {"member_bytes", "B/s", PLANNED_DAEMONS};
    Slope messages = {"member_messages", "1/s", PLANNED_DAEMONS};
    Slope cpu = {"member_core", "percent", PLANNED_DAEMONS};
    Slope memory = {"member_memory", "KB", PLANNED_DAEMONS};
    Slope spread = {"change_spread", "s", 0};
    spread.planned = log2(PLANNED_DAEMONS);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        FleetCost cost = measure_fleet(sizes[i]);
        double n = (double)sizes[i];
        add_point(&bytes, n, cost.bytes_per_s);
        add_point(&messages, n, cost.messages_per_s);
        add_point(&cpu, n, cost.cpu_share * 100);
        add_point(&memory, n, cost.memory / 1024);
        add_point(&spread, log2(n), cost.spread_s);
    }
    print_slope(&bytes);
    print_slope(&messages);
    print_slope(&cpu);
    print_slope(&memory);
    print_slope(&spread);
}

static char *
catalogue_text(size_t n_targets, size_t n_entries)
{
    GString *text = g_string_new(
        "{\"revision\":1,\"services\":[{\"name\":\"s\",\"maps\":[{"
        "\"version\":1,\"groups\":[");
    size_t n_groups = MAX(1, n_targets / 3);
    for (size_t i = 0; i < n_groups * 3; i++) {
        if (i % 3 == 0) {
            g_string_append_printf(text, "%s{\"name\":\"g%zu\",\"replicas\":[",
                                   i ? "]}," : "", i / 3);
        }
        g_string_append_printf(text,
                               "%s{\"name\":\"target-%zu\",\"address\":"
                               "\"127.%zu.%zu.1:80\",\"zone\":\"zone-%zu\"}",
                               i % 3 ? "," : "", i, i / 250, i % 250, i % 10);
    }
    g_string_append(text, "]}]}]}],\"entries\":[");
    for (size_t i = 0; i < n_entries; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"entry-%zu\",\"owner\":\"the "
                               "owners of entry %zu\",\"service\":\"s\","
                               "\"deadline_ms\":400}",
                               i ? "," : "", i, i);
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

typedef struct {
    double memory;
    double accept_ns;
    double bytes;
} CatalogueCost;

static CatalogueCost
measure_catalogue(size_t n_targets, size_t n_entries)
{
    LrEngineConfig config = {.zone = LrStr_FromC("zone-0"),
                             .seed = 1,
                             .policy = &LrSelectionPolicy_EstimatedLatency};
    g_autofree char *text = catalogue_text(n_targets, n_entries);
    LrStr whole = LrStr_FromC(text);
    LrEngine *engine = LrEngine_New(&config);
    LrFaults *faults = LrFaults_New();
    double heap = heap_bytes();
    double cpu = cpu_ns();
    LrCatalogue *catalogue = LrCatalogue_Parse(whole, faults);
    LrEngine_SetCatalogue(engine, LR_SECOND, catalogue);
    CatalogueCost cost = {
        .accept_ns = cpu_ns() - cpu,
        .memory = heap_bytes() - heap,
        .bytes = (double)whole.len,
    };
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    LrEngine_Free(engine);
    return cost;
}

static void
scale_catalogue(void)
{
    static const size_t targets[] = {30, 120, 480, 1500, 4100};
    static const size_t entries[] = {10, 100, 500, 1000, 2000};
    Slope target_memory = {"target_memory", "KB", PLANNED_TARGETS};
    Slope target_accept = {"target_accept", "ms", PLANNED_TARGETS};
    Slope entry_memory = {"entry_memory", "KB", PLANNED_ENTRIES};
    Slope entry_accept = {"entry_accept", "ms", PLANNED_ENTRIES};
    Slope entry_bytes = {"entry_bytes", "B", PLANNED_ENTRIES};
    for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
        CatalogueCost cost = measure_catalogue(targets[i], 10);
        add_point(&target_memory, (double)targets[i], cost.memory / 1024);
        add_point(&target_accept, (double)targets[i], cost.accept_ns / 1e6);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        CatalogueCost cost = measure_catalogue(30, entries[i]);
        add_point(&entry_memory, (double)entries[i], cost.memory / 1024);
        add_point(&entry_accept, (double)entries[i], cost.accept_ns / 1e6);
        add_point(&entry_bytes, (double)entries[i], cost.bytes);
    }
    print_slope(&target_memory);
    print_slope(&target_accept);
    print_slope(&entry_memory);
    print_slope(&entry_accept);
    print_slope(&entry_bytes);
}

/* Processor time of one query in the decision modules, by its width. */
static double
query_us(size_t width)
{
    LrEngineConfig config = {.zone = LrStr_FromC("zone-0"),
                             .seed = 1,
                             .policy = &LrSelectionPolicy_EstimatedLatency};
    g_autofree char *text = catalogue_text(width * 3, 1);
    LrEngine *engine = LrEngine_New(&config);
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue = LrCatalogue_Parse(LrStr_FromC(text), faults);
    GBytes *body = g_bytes_new_static("{}", 2);
    LrTime now = LR_SECOND;
    LrEngine_SetCatalogue(engine, now, catalogue);
    size_t n_queries = 40000 / width;
    double cpu = cpu_ns();
    for (size_t i = 0; i < n_queries; i++) {
        LrRequest request = {.entry = LrStr_FromC("entry-0"), .body = body};
        LrReply reply = {.status = LR_REPLY_OK, .version = 1, .body = body};
        LrAction action;
        GArray *sent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        now += 10 * LR_MILLISECOND;
        LrEngine_Submit(engine, now, &request);
        while (LrEngine_NextAction(engine, &action)) {
            g_array_append_val(sent, action.attempt);
        }
        for (guint j = 0; j < sent->len; j++) {
            LrEngine_OnReply(engine, now + 4 * LR_MILLISECOND,
                             g_array_index(sent, uint64_t, j), &reply);
        }
        while (LrEngine_NextAction(engine, &action)) {
            LrAnswer_Free(action.answer);
        }
        g_array_unref(sent);
    }
    cpu = (cpu_ns() - cpu) / (double)n_queries / 1e3;
    g_bytes_unref(body);
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    LrEngine_Free(engine);
    return cpu;
}

static void
scale_fan_out(void)
{
    static const size_t widths[] = {10, 25, 50, 100, 250};
    Slope slope = {"query_decisions", "us", PLANNED_FAN_OUT};
    for (size_t i = 0; i < G_N_ELEMENTS(widths); i++) {
        add_point(&slope, (double)widths[i], query_us(widths[i]));
    }
    print_slope(&slope);
}

/* Memory of remembered idempotency keys. */
static void
scale_ledger(void)
{
    static const size_t counts[] = {1000, 5000, 20000, 50000, 100000};
    Slope slope = {"ledger_memory", "KB", 100000};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        LrLedger *ledger = LrLedger_New(counts[i]);
        GBytes *answer = g_bytes_new_static("{\"outcome\":\"complete\"}", 22);
        double heap = heap_bytes();
        for (size_t j = 0; j < counts[i]; j++) {
            LrIdempotencyKey key = {.host = LrStr_FromC("daemon-0001"),
                                    .incarnation = 1796361206043,
                                    .expires_ms = 1796361806814,
                                    .nonce = j};
            g_autofree char *text = LrIdempotencyKey_Format(&key);
            LrLedgerRow *row;
            LrLedger_Claim(ledger, LrStr_FromC(text), j, LR_SECOND, LR_NEVER,
                           &row);
            LrLedger_Finish(ledger, row, LR_OUTCOME_COMPLETE, 200, answer);
        }
        add_point(&slope, (double)counts[i], (heap_bytes() - heap) / 1024);
        g_bytes_unref(answer);
        LrLedger_Free(ledger);
    }
    print_slope(&slope);
}

int
Bench_Scale(int argc, char **argv)
{
    struct arg_end *end = arg_end(OPTION_MAX_ERRORS);
    void *table[] = {end};
    int status = Bench_Parse("scale", argc, argv, table, end);
    if (status == BENCH_RUN) {
        scale_fleet();
        scale_catalogue();
        scale_fan_out();
        scale_ledger();
        status = EXIT_SUCCESS;
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
