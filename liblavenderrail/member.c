/* Membership and failure detection by the SWIM protocol (Das, Gupta,
 * Motivala, 2002): probing, suspicion with refutation, and dissemination of
 * membership updates. Each interval a daemon probes one member, whatever the
 * size of the fleet, so its load is constant. Updates are piggybacked on
 * probes and their acknowledgements. The host list adds members; a dead
 * member is dropped once the host list no longer names it. */
#include "lavenderrail.h"

#include <math.h>
#include <string.h>

enum {
    MAX_UPDATES_PER_PROBE = 16,
    PROXIES_PER_PROBE = 3,
    MAX_PROXIED_PROBES = 64,
    TRANSMIT_FACTOR = 3,
    SUSPICION_FACTOR = 4,
    DEAD_PROBE_EVERY_TICKS = 5,
    /* Seeds are probed even when members are known, as rarely as dead ones, so
     * that two groups of daemons that don't know each other merge. */
    SEED_PROBE_EVERY_TICKS = 5,
    MAX_TICK_GAP_INTERVALS = 3,
    MAX_SEEDS = 16,
};

/* A probe that this daemon sent on behalf of another one. */
typedef struct {
    int64_t sequence;
    char *reply_to;
    int64_t original_sequence;
} ProxiedProbe;

struct LrMembers {
    LrMembersConfig config;
    GPtrArray *list;
    GHashTable *by_name;
    LrMember *self;
    GPtrArray *probe_order;
    int64_t sequence;
    LrMember *probed;
    int64_t probe_sequence;
    LrTime probed_at;
    bool proxies_asked;
    ProxiedProbe proxied_probes[MAX_PROXIED_PROBES];
    unsigned next_proxied_probe;
    LrTime last_tick_at;
    uint64_t n_ticks;
    int64_t catalogue_revision;
    char *catalogue_digest;
};

static void
free_member(gpointer data)
{
    LrMember *member = data;
    g_free((char *)member->name.ptr);
    g_free((char *)member->zone.ptr);
    g_free((char *)member->address.ptr);
    g_free(member);
}

static void
set_str(LrStr *at, LrStr value)
{
    if (at->ptr && LrStr_Equal(*at, value)) {
        return;
    }
    g_free((char *)at->ptr);
    *at = (LrStr){.ptr = LrStr_Dup(value), .len = value.len};
}

static LrMember *
add_member(LrMembers *members, LrStr name, LrStr zone, LrStr address,
           LrTime now)
{
    LrMember *member = g_new0(LrMember, 1);
    set_str(&member->name, name);
    set_str(&member->zone, zone);
    set_str(&member->address, address);
    member->state_since = now;
    g_ptr_array_add(members->list, member);
    g_hash_table_insert(members->by_name, &member->name, member);
    return member;
}

LrMembers *
LrMembers_New(const LrMembersConfig *config, LrTime now)
{
    LrMembers *members = g_new0(LrMembers, 1);
    members->config = *config;
    members->list = g_ptr_array_new_with_free_func(free_member);
    members->by_name = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    members->probe_order = g_ptr_array_new();
    members->catalogue_digest = g_strdup("");
    members->self =
        add_member(members, config->name, config->zone, config->address, now);
    members->self->incarnation = config->incarnation;
    members->self->speed = config->speed;
    members->self->listed = true;
    members->last_tick_at = now;
    return members;
}

void
LrMembers_Free(LrMembers *members)
{
    if (!members) {
        return;
    }
    for (size_t i = 0; i < MAX_PROXIED_PROBES; i++) {
        g_free(members->proxied_probes[i].reply_to);
    }
    g_hash_table_unref(members->by_name);
    g_ptr_array_unref(members->probe_order);
    g_ptr_array_unref(members->list);
    g_free(members->catalogue_digest);
    g_free(members);
}

static unsigned
transmit_limit(const LrMembers *members)
{
    double n = members->list->len + 1.0;
    return (unsigned)ceil(TRANSMIT_FACTOR * log2(n)) + 1;
}

static void
change_state(LrMembers *members, LrMember *member, LrMemberState state,
             LrTime now)
{
    member->transmits_left = transmit_limit(members);
    if (member->state == state) {
        return;
    }
    member->state = state;
    member->state_since = now;
    LR_LOG(members->config.log, LOG_NOTICE, "member_state",
           LrLog_Str("member", member->name),
           LrLog_CStr("state", LrMemberState_Names[state]));
}

static int
compare_updates(const LrMember *member, const LrMemberMsg *update)
{
    static const int ranks[] = {
        [LR_MEMBER_ALIVE] = 0,
        [LR_MEMBER_LEAVING] = 1,
        [LR_MEMBER_SUSPECT] = 2,
        [LR_MEMBER_DEAD] = 3,
    };
    if (update->incarnation != member->incarnation) {
        return update->incarnation > member->incarnation ? 1 : -1;
    }
    if (update->serial != member->serial) {
        return update->serial > member->serial ? 1 : -1;
    }
    return ranks[update->state] - ranks[member->state];
}

/* Overrides a wrong update about this daemon's own state with a higher
 * serial. */
static void
refute(LrMembers *members, const LrMemberMsg *update)
{
    LrMember *self = members->self;
    if (update->incarnation != self->incarnation ||
        update->serial < self->serial || update->state == self->state) {
        return;
    }
    self->serial = update->serial + 1;
    self->transmits_left = transmit_limit(members);
    LrCounters_Add(members->config.counters, LR_COUNT_MEMBERS_REFUTED, 1);
}

/* Marks a dead member as removed from the host list, as a daemon that reads
 * the list reports. */
static void
apply_unlisting(LrMembers *members, LrMember *member,
                const LrMemberMsg *update)
{
    if (update->state == LR_MEMBER_DEAD && member->listed && !update->listed) {
        member->listed = false;
        member->transmits_left = transmit_limit(members);
    }
}

static void
apply_update(LrMembers *members, const LrMemberMsg *update, LrTime now)
{
    if (LrStr_Equal(update->name, members->self->name)) {
        refute(members, update);
        return;
    }
    LrMember *member = LrMembers_Lookup(members, update->name);
    if (!member) {
        if (update->state == LR_MEMBER_DEAD) {
            return;
        }
        member = add_member(members, update->name, update->zone,
                            update->address, now);
        member->incarnation = -1;
    }
    int order = compare_updates(member, update);
    if (order == 0) {
        apply_unlisting(members, member, update);
    }
    if (order <= 0) {
        return;
    }
    member->listed = update->listed || update->state != LR_MEMBER_DEAD;
    member->incarnation = update->incarnation;
    member->serial = update->serial;
    set_str(&member->zone, update->zone);
    set_str(&member->address, update->address);
    member->speed = update->speed;
    change_state(members, member, update->state, now);
}

/* Records for every member whether the host list names it. */
static void
mark_listed(LrMembers *members, GHashTable *named)
{
    for (guint i = 0; i < members->list->len; i++) {
        LrMember *member = members->list->pdata[i];
        bool listed = member == members->self ||
                      g_hash_table_contains(named, &member->name);
        if (member->listed && !listed) {
            member->transmits_left = transmit_limit(members);
        }
        member->listed = listed;
    }
}

void
LrMembers_OnHosts(LrMembers *members, const LrHostList *list, LrTime now)
{
    GHashTable *named = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    for (size_t i = 0; i < list->spec.n_hosts; i++) {
        LrHostSpec *host = &list->spec.hosts[i];
        if (!LrStr_EqualC(host->role, "daemon")) {
            continue;
        }
        g_hash_table_add(named, &host->name);
        if (!LrMembers_Lookup(members, host->name)) {
            add_member(members, host->name, host->zone, host->address, now);
        }
    }
    mark_listed(members, named);
    g_hash_table_unref(named);
}

static LrMemberMsg
to_update(const LrMember *member)
{
    return (LrMemberMsg){
        .name = member->name,
        .zone = member->zone,
        .address = member->address,
        .incarnation = MAX(0, member->incarnation),
        .serial = member->serial,
        .state = member->state,
        .listed = member->listed,
        .speed = member->speed,
    };
}

/* Picks this daemon's own state, then the updates that were sent least
 * often. */
static size_t
pick_updates(LrMembers *members, LrMemberMsg updates[MAX_UPDATES_PER_PROBE])
{
    size_t n = 0;
    updates[n++] = to_update(members->self);
    while (n < MAX_UPDATES_PER_PROBE) {
        LrMember *best = NULL;
        for (guint i = 0; i < members->list->len; i++) {
            LrMember *member = members->list->pdata[i];
            if (member != members->self && member->transmits_left > 0 &&
                !member->picked &&
                (!best || member->transmits_left > best->transmits_left)) {
                best = member;
            }
        }
        if (!best) {
            break;
        }
        best->transmits_left--;
        best->picked = true;
        updates[n++] = to_update(best);
    }
    for (guint i = 0; i < members->list->len; i++) {
        ((LrMember *)members->list->pdata[i])->picked = false;
    }
    return n;
}

static void
send_probe(LrMembers *members, LrStr address, int64_t sequence, bool ack,
           LrStr about)
{
    LrMemberMsg updates[MAX_UPDATES_PER_PROBE];
    LrProbeMsg message = {
        .sequence = sequence,
        .ack = ack,
        .about = about,
        .revision = members->catalogue_revision,
        .digest = LrStr_FromC(members->catalogue_digest),
        .news = updates,
        .n_news = pick_updates(members, updates),
    };
    members->config.send(members->config.data, address, &message);
}

static bool
is_reachable(const LrMembers *members, const LrMember *member)
{
    return member != members->self && member->state != LR_MEMBER_DEAD;
}

static LrMember *
random_reachable_member(LrMembers *members, const LrMember *except)
{
    guint n = members->list->len;
    guint start = LrRandom_Below(members->config.random, n);
    for (guint i = 0; i < n; i++) {
        LrMember *member = members->list->pdata[(start + i) % n];
        if (member != except && is_reachable(members, member)) {
            return member;
        }
    }
    return NULL;
}

static void
shuffle_order(LrMembers *members)
{
    g_ptr_array_set_size(members->probe_order, 0);
    for (guint i = 0; i < members->list->len; i++) {
        LrMember *member = members->list->pdata[i];
        if (is_reachable(members, member)) {
            guint at = LrRandom_Below(members->config.random,
                                      members->probe_order->len + 1);
            g_ptr_array_insert(members->probe_order, (gint)at, member);
        }
    }
}

static LrMember *
random_dead_member(LrMembers *members)
{
    guint n = members->list->len;
    guint start = LrRandom_Below(members->config.random, n);
    for (guint i = 0; i < n; i++) {
        LrMember *member = members->list->pdata[(start + i) % n];
        if (member->state == LR_MEMBER_DEAD && member->listed) {
            return member;
        }
    }
    return NULL;
}

/* Next member to probe: in a random order, shuffled anew after each round.
 * Every few ticks a dead member is probed instead, so that a healed partition
 * is noticed. */
static LrMember *
next_to_probe(LrMembers *members)
{
    LrMember *dead = members->n_ticks % DEAD_PROBE_EVERY_TICKS == 0
                         ? random_dead_member(members)
                         : NULL;
    if (dead) {
        return dead;
    }
    if (members->probe_order->len == 0) {
        shuffle_order(members);
    }
    if (members->probe_order->len == 0) {
        return NULL;
    }
    return g_ptr_array_remove_index(members->probe_order,
                                    members->probe_order->len - 1);
}

static void
probe_next(LrMembers *members, LrTime now)
{
    LrMember *member = next_to_probe(members);
    if (!member) {
        return;
    }
    members->probed = member;
    members->probe_sequence = ++members->sequence;
    members->probed_at = now;
    members->proxies_asked = false;
    send_probe(members, member->address, members->probe_sequence, false,
               LrStr_FromC(""));
}

static void
probe_through_proxies(LrMembers *members)
{
    members->proxies_asked = true;
    for (int i = 0; i < PROXIES_PER_PROBE; i++) {
        LrMember *proxy = random_reachable_member(members, members->probed);
        if (proxy) {
            send_probe(members, proxy->address, members->probe_sequence, false,
                       members->probed->name);
        }
    }
}

/* Handles a probe that is unanswered after an interval: first probes the
 * member through other daemons, an interval later suspects it. */
static void
check_probe(LrMembers *members, LrTime now)
{
    LrMember *member = members->probed;
    if (!member) {
        return;
    }
    if (!members->proxies_asked && member->state != LR_MEMBER_DEAD) {
        probe_through_proxies(members);
        return;
    }
    members->probed = NULL;
    if (member->state == LR_MEMBER_ALIVE ||
        member->state == LR_MEMBER_LEAVING) {
        LrCounters_Add(members->config.counters, LR_COUNT_MEMBERS_SUSPECTED,
                       1);
        change_state(members, member, LR_MEMBER_SUSPECT, now);
    }
}

static void
drop_member(LrMembers *members, LrMember *member)
{
    g_ptr_array_remove(members->probe_order, member);
    g_hash_table_remove(members->by_name, &member->name);
    if (members->probed == member) {
        members->probed = NULL;
    }
    g_ptr_array_remove(members->list, member);
}

LrTime
LrMembers_SuspicionTimeout(const LrMembers *members)
{
    double n = members->list->len + 1.0;
    return (LrTime)((double)members->config.probe_interval * SUSPICION_FACTOR *
                    MAX(1, log2(n)));
}

static void
expire_members(LrMembers *members, LrTime now)
{
    LrTime limit = LrMembers_SuspicionTimeout(members);
    for (guint i = members->list->len; i > 0; i--) {
        LrMember *member = members->list->pdata[i - 1];
        if (now - member->state_since < limit || member == members->self) {
            continue;
        }
        if (member->state == LR_MEMBER_SUSPECT) {
            change_state(members, member, LR_MEMBER_DEAD, now);
        }
        else if (member->state == LR_MEMBER_DEAD && !member->listed &&
                 member->transmits_left == 0) {
            drop_member(members, member);
        }
    }
}

/* Called when this process was paused: acknowledgements that are missing say
 * nothing about the other members, so every suspicion starts anew. */
static void
restart_suspicions(LrMembers *members, LrTime now)
{
    members->probed = NULL;
    for (guint i = 0; i < members->list->len; i++) {
        LrMember *member = members->list->pdata[i];
        if (member->state == LR_MEMBER_SUSPECT) {
            member->state_since = now;
        }
    }
}

/* Probes a random seed by its address; the acknowledgement carries its
 * name. */
static void
probe_seed(LrMembers *members)
{
    LrStr seeds[MAX_SEEDS];
    LrStr rest = members->config.seeds;
    size_t n = 0;
    while (n < MAX_SEEDS && LrStr_NextListItem(&rest, &seeds[n])) {
        n++;
    }
    if (n == 0) {
        return;
    }
    LrStr seed = seeds[LrRandom_Below(members->config.random, (uint32_t)n)];
    if (!LrStr_Equal(seed, members->self->address)) {
        send_probe(members, seed, ++members->sequence, false, LrStr_FromC(""));
    }
}

void
LrMembers_Tick(LrMembers *members, LrTime now)
{
    LrTime gap = now - members->last_tick_at;
    if (gap > MAX_TICK_GAP_INTERVALS * members->config.probe_interval) {
        restart_suspicions(members, now);
    }
    members->last_tick_at = now;
    members->n_ticks++;
    if (members->list->len == 1 ||
        members->n_ticks % SEED_PROBE_EVERY_TICKS == 0) {
        probe_seed(members);
    }
    check_probe(members, now);
    expire_members(members, now);
    if (!members->probed) {
        probe_next(members, now);
    }
}

static void
proxy_probe(LrMembers *members, const LrMember *member,
            const LrProbeMsg *message, LrStr reply_to)
{
    ProxiedProbe *proxied =
        &members->proxied_probes[members->next_proxied_probe++ %
                                 MAX_PROXIED_PROBES];
    g_free(proxied->reply_to);
    proxied->reply_to = LrStr_Dup(reply_to);
    proxied->original_sequence = message->sequence;
    proxied->sequence = ++members->sequence;
    send_probe(members, member->address, proxied->sequence, false,
               LrStr_FromC(""));
}

static void
on_ack(LrMembers *members, const LrProbeMsg *message, LrStr name)
{
    if (members->probed && message->sequence == members->probe_sequence &&
        (LrStr_Equal(members->probed->name, name) ||
         LrStr_Equal(members->probed->name, message->about))) {
        members->probed = NULL;
        return;
    }
    for (size_t i = 0; i < MAX_PROXIED_PROBES; i++) {
        ProxiedProbe *proxied = &members->proxied_probes[i];
        if (proxied->reply_to && proxied->sequence == message->sequence) {
            send_probe(members, LrStr_FromC(proxied->reply_to),
                       proxied->original_sequence, true, name);
            g_clear_pointer(&proxied->reply_to, g_free);
            return;
        }
    }
}

/* The sender of a message is suspected or dead here: sends this state out
 * again, so that the sender learns of it and refutes it. */
static void
rebroadcast_if_suspected(LrMembers *members, const LrMemberMsg *update)
{
    LrMember *member = LrMembers_Lookup(members, update->name);
    if (!member) {
        return;
    }
    bool suspected =
        member->state == LR_MEMBER_DEAD || member->state == LR_MEMBER_SUSPECT;
    if (suspected && update->incarnation == member->incarnation) {
        member->transmits_left = transmit_limit(members);
    }
}

/* Readers of an earlier build don't count among those that read the service
 * for this one: they would not tell it of evacuations. */
static void
note_build(LrMembers *members, LrStr name, bool knows_evacuations)
{
    LrMember *member = LrMembers_Lookup(members, name);
    if (member) {
        member->ignores_evacuations = !knows_evacuations;
    }
}

void
LrMembers_OnProbe(LrMembers *members, const LrProbeMsg *message, LrTime now)
{
    if (message->n_news == 0 ||
        LrStr_Equal(message->news[0].name, members->self->name)) {
        return;
    }
    const LrMemberMsg *sender = &message->news[0];
    for (size_t i = 0; i < message->n_news; i++) {
        apply_update(members, &message->news[i], now);
    }
    rebroadcast_if_suspected(members, sender);
    note_build(members, sender->name, message->evacuations_revision >= 0);
    if (message->ack) {
        on_ack(members, message, sender->name);
        return;
    }
    LrMember *about = message->about.len > 0
                          ? LrMembers_Lookup(members, message->about)
                          : NULL;
    if (about && about != members->self) {
        proxy_probe(members, about, message, sender->address);
        return;
    }
    send_probe(members, sender->address, message->sequence, true,
               LrStr_FromC(""));
}

void
LrMembers_ProbeZone(LrMembers *members)
{
    for (guint i = 0; i < members->list->len; i++) {
        const LrMember *member = members->list->pdata[i];
        if (is_reachable(members, member) &&
            LrStr_Equal(member->zone, members->self->zone)) {
            send_probe(members, member->address, ++members->sequence, false,
                       LrStr_FromC(""));
        }
    }
}

void
LrMembers_TellAll(LrMembers *members)
{
    for (guint i = 0; i < members->list->len; i++) {
        const LrMember *member = members->list->pdata[i];
        if (is_reachable(members, member)) {
            /* Acknowledges no probe: none has this sequence. */
            send_probe(members, member->address, 0, true, LrStr_FromC(""));
        }
    }
}

void
LrMembers_Leave(LrMembers *members, LrTime now)
{
    members->self->serial++;
    change_state(members, members->self, LR_MEMBER_LEAVING, now);
}

void
LrMembers_SetCatalogue(LrMembers *members, int64_t revision, uint64_t digest)
{
    members->catalogue_revision = revision;
    g_free(members->catalogue_digest);
    members->catalogue_digest =
        g_strdup_printf("%016" G_GINT64_MODIFIER "x", digest);
}

LrMember *
LrMembers_Lookup(LrMembers *members, LrStr name)
{
    return g_hash_table_lookup(members->by_name, &name);
}

size_t
LrMembers_Count(const LrMembers *members)
{
    return members->list->len;
}

LrMember *
LrMembers_Get(const LrMembers *members, size_t index)
{
    return members->list->pdata[index];
}

static uint64_t
reader_weight(const LrMember *member)
{
    return LrStr_Hash(member->name, LrStr_Hash(member->zone, 0));
}

unsigned
LrMembers_ZoneRank(const LrMembers *members)
{
    const LrMember *self = members->self;
    unsigned rank = 0;
    for (guint i = 0; i < members->list->len; i++) {
        const LrMember *member = members->list->pdata[i];
        if (is_reachable(members, member) &&
            member->state != LR_MEMBER_LEAVING &&
            !member->ignores_evacuations &&
            LrStr_Equal(member->zone, self->zone) &&
            reader_weight(member) > reader_weight(self)) {
            rank++;
        }
    }
    return rank;
}

unsigned
LrMembers_FleetRank(const LrMembers *members, unsigned *count)
{
    unsigned rank = 0;
    *count = 0;
    for (guint i = 0; i < members->list->len; i++) {
        const LrMember *member = members->list->pdata[i];
        if (!member->listed && member->state == LR_MEMBER_DEAD) {
            continue;
        }
        (*count)++;
        rank += LrStr_Compare(member->name, members->self->name) < 0;
    }
    return rank;
}
