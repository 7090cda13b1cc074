/* Messages between the daemons of a fleet: dispatches incoming ones, and
 * propagates membership, crashes and quarantined requests, leaving targets and
 * rate limits of targets. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "aggregators.h"
#include "catalogue_sync.h"
#include "forward.h"
#include "limited_targets.h"
#include "zone_detector.h"
#include "readers.h"
#include "routing.h"

/* Rows of each kind that are piggybacked on one probe. */
enum {
    MAX_QUARANTINED_PER_PROBE = 4,
    MAX_LEAVING_PER_PROBE = 4,
    MAX_LIMITS_PER_PROBE = 4,
};

/* Peers are told of a target that said that it is leaving for this long after
 * the catalogue has dropped it: its entry may come back. */
#define LEAVING_MEMORY (60 * LR_SECOND)

static const LrRecordDescriptor *const MESSAGE_SPECS[] = {
    [LR_MSG_PROBE] = &LrProbeMsg_Descriptor,
    [LR_MSG_DELTA_REQUEST] = &LrDeltaRequestMsg_Descriptor,
    [LR_MSG_DELTA] = &LrDeltaMsg_Descriptor,
    [LR_MSG_PACKED_DELTA] = &LrPackedDeltaMsg_Descriptor,
    [LR_MSG_KEYED_CALL] = &LrKeyedCallMsg_Descriptor,
    [LR_MSG_KEYED_CALL_ANSWER] = &LrKeyedCallAnswerMsg_Descriptor,
    [LR_MSG_RELAY] = &LrRelayMsg_Descriptor,
    [LR_MSG_RELAY_ANSWER] = &LrRelayAnswerMsg_Descriptor,
    [LR_MSG_RELAY_CANCEL] = &LrRelayCancelMsg_Descriptor,
    [LR_MSG_HANDOFF] = &LrHandoffMsg_Descriptor,
    [LR_MSG_HANDOFF_ACK] = &LrHandoffAckMsg_Descriptor,
    [LR_MSG_HANDOFF_NOTICE] = &LrHandoffNoticeMsg_Descriptor,
    [LR_MSG_LOAN_REQUEST] = &LrLoanRequestMsg_Descriptor,
    [LR_MSG_LOAN] = &LrLoanMsg_Descriptor,
    [LR_MSG_FORWARD] = &LrForwardMsg_Descriptor,
    [LR_MSG_FORWARD_ANSWER] = &LrForwardAnswerMsg_Descriptor,
    [LR_MSG_FORWARD_COMMAND] = &LrForwardCommandMsg_Descriptor,
    [LR_MSG_CRASH_REPORT] = &LrCrashReportMsg_Descriptor,
};

/* Some of the quarantined requests, in turn. */
typedef struct {
    LrQuarantinedMsg rows[MAX_QUARANTINED_PER_PROBE];
    LrFingerprintText texts[MAX_QUARANTINED_PER_PROBE];
    size_t n;
    /* Requests left out before the first row, and requests seen so far. */
    size_t n_skipped;
    size_t n_seen;
    LrTime now;
} QuarantinedRows;

static void
collect_quarantined(void *data, const LrCrashRecord *record)
{
    QuarantinedRows *quarantined = data;
    if (!record->quarantined || record->expires_at <= quarantined->now) {
        return;
    }
    quarantined->n_seen++;
    if (quarantined->n_seen <= quarantined->n_skipped ||
        quarantined->n == MAX_QUARANTINED_PER_PROBE) {
        return;
    }
    LrFingerprintText *text = &quarantined->texts[quarantined->n];
    LrFingerprint_ToText(record->fingerprint, text);
    quarantined->rows[quarantined->n] = (LrQuarantinedMsg){
        .fingerprint = LrStr_FromC(text->content),
        .caller = LrStr_FromC(text->caller),
        .left_ms = (record->expires_at - quarantined->now) / LR_MILLISECOND,
    };
    quarantined->n++;
}

/* Milliseconds since the configuration service was last read by this daemon or
 * by another one, as far as it has heard; -1 when it never was. */
static int64_t
config_age_ms(LrDaemon *daemon, LrTime now)
{
    LrTime own =
        daemon->source
            ? daemon->deployment->source->last_success_at(daemon->source)
            : 0;
    daemon->service_read_at = MAX(daemon->service_read_at, own);
    return daemon->service_read_at > 0
               ? (now - daemon->service_read_at) / LR_MILLISECOND
               : -1;
}

static void
apply_config_age(LrDaemon *daemon, const LrProbeMsg *message, LrTime now)
{
    if (message->heard_ms >= 0) {
        daemon->service_read_at = MAX(
            daemon->service_read_at, now - message->heard_ms * LR_MILLISECOND);
    }
}

/* Fills rows with leaving targets, first those that the host list marks;
 * returns their number, up to twice MAX_LEAVING_PER_PROBE. */
static size_t
collect_leaving(LrDaemon *daemon, LrTime now, LrLeavingTargetMsg *rows)
{
    size_t n = LrLeavingTargets_NextBatch(daemon->leaving, now, rows,
                                          MAX_LEAVING_PER_PROBE);
    size_t n_stated = LrLeavingTargets_NextBatch(
        daemon->stated_leaving, now, rows + n, MAX_LEAVING_PER_PROBE);
    for (size_t i = n; i < n + n_stated; i++) {
        rows[i].by_target = true;
    }
    return n + n_stated;
}

static size_t
collect_evacuated(const LrDaemon *daemon, LrEvacuatedZoneMsg *rows)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    size_t n = LrValueSet_EvacuatedZones(
        LrActiveCatalogue_Values(daemon->active_catalogue), zones);
    for (size_t i = 0; i < n; i++) {
        rows[i].zone = zones[i];
    }
    return n;
}

static void
send_probe(void *data, LrStr address, const LrProbeMsg *message)
{
    LrDaemon *daemon = data;
    QuarantinedRows quarantined = {.now = LrClock_Now(),
                                   .n_skipped = daemon->next_quarantined};
    LrQuarantine_Each(LrEngine_Quarantine(daemon->engine), collect_quarantined,
                      &quarantined);
    daemon->next_quarantined += quarantined.n;
    if (daemon->next_quarantined >= quarantined.n_seen) {
        daemon->next_quarantined = 0;
    }
    LrProbeMsg probe = *message;
    probe.heard_ms = config_age_ms(daemon, quarantined.now);
    probe.isolated = daemon->isolated;
    probe.condemned = quarantined.rows;
    probe.n_condemned = quarantined.n;
    LrLeavingTargetMsg leaving[2 * MAX_LEAVING_PER_PROBE];
    probe.leaving = leaving;
    probe.n_leaving = collect_leaving(daemon, quarantined.now, leaving);
    LrTargetLimitMsg limits[MAX_LIMITS_PER_PROBE];
    probe.limits = limits;
    probe.n_limits = LrLimitedTargets_NextBatch(
        LrTargets_Limited(LrEngine_Targets(daemon->engine)), quarantined.now,
        limits, MAX_LIMITS_PER_PROBE);
    LrEvacuatedZoneMsg evacuated[LR_MAX_EVACUATED_ZONES];
    probe.evacuated = evacuated;
    probe.n_evacuated = collect_evacuated(daemon, evacuated);
    probe.evacuations_revision = LrValueSet_EvacuationsRevision(
        LrActiveCatalogue_Values(daemon->active_catalogue));
    LrPeers_Send(daemon->peers, address, &LrProbeMsg_Descriptor, &probe);
}

static void
apply_quarantined(LrDaemon *daemon, const LrProbeMsg *message, LrTime now)
{
    for (size_t i = 0; i < message->n_condemned; i++) {
        const LrQuarantinedMsg *row = &message->condemned[i];
        LrFingerprint fingerprint;
        if (LrFingerprint_FromText(row->fingerprint, row->caller,
                                   &fingerprint)) {
            LrQuarantine_Add(LrEngine_Quarantine(daemon->engine), fingerprint,
                             now + row->left_ms * LR_MILLISECOND, now);
        }
    }
}

static void
on_crash_report(LrDaemon *daemon, const LrCrashReportMsg *message)
{
    LrTime now = LrClock_Now();
    LrCrashReport report = {
        .event = message->event,
        .withdrawn = message->withdrawn,
        .target = message->target,
        .broken_at = now - message->broken_ago_ms * LR_MILLISECOND,
        .reporter = MAX(1, LrStr_Hash(message->reporter, 0)),
    };
    if (LrFingerprint_FromText(message->fingerprint, message->caller,
                               &report.fingerprint)) {
        LrEngine_OnCrashReport(daemon->engine, now, &report);
    }
}

/* Peers that a crash is reported to. They are chosen by the request, so that
 * the same ones count its crashes, whichever daemons saw them. */
enum { MAX_REPORT_PEERS = 16 };

typedef struct {
    uint64_t weight;
    const LrMember *member;
} RankedPeer;

/* Inserts a peer by descending weight; the last one of a full list is
 * dropped. */
static size_t
insert_ranked(RankedPeer peers[MAX_REPORT_PEERS], size_t n, RankedPeer peer)
{
    size_t at = n;
    while (at > 0 && peers[at - 1].weight < peer.weight) {
        at--;
    }
    if (at == MAX_REPORT_PEERS) {
        return n;
    }
    n = MIN(n + 1, MAX_REPORT_PEERS);
    memmove(&peers[at + 1], &peers[at], (n - at - 1) * sizeof(peers[0]));
    peers[at] = peer;
    return n;
}

static bool
is_live_peer(const LrDaemon *daemon, const LrMember *member)
{
    return member->state == LR_MEMBER_ALIVE &&
           !LrStr_Equal(member->name, daemon->settings.name);
}

/* Picks the other daemons that rank first for a request, by rendezvous
 * hashing. */
static size_t
pick_report_peers(const LrDaemon *daemon, uint64_t content,
                  RankedPeer peers[MAX_REPORT_PEERS])
{
    size_t n = 0;
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (is_live_peer(daemon, member)) {
            RankedPeer peer = {.weight = LrStr_Hash(member->name, content),
                               .member = member};
            n = insert_ranked(peers, n, peer);
        }
    }
    return n;
}

static void
send_to_all(const LrDaemon *daemon, const LrCrashReportMsg *message)
{
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (is_live_peer(daemon, member)) {
            LrPeers_Send(daemon->peers, member->address,
                         &LrCrashReportMsg_Descriptor, message);
        }
    }
}

static void
send_crash_report(void *data, const LrCrashReport *report)
{
    const LrDaemon *daemon = data;
    LrFingerprintText text;
    LrFingerprint_ToText(report->fingerprint, &text);
    LrCrashReportMsg message = {
        .fingerprint = LrStr_FromC(text.content),
        .caller = LrStr_FromC(text.caller),
        .event = report->event,
        .withdrawn = report->withdrawn,
        .target = report->target,
        .reporter = daemon->settings.name,
    };
    if (report->event == LR_CRASH_EVENT_CRASH) {
        message.broken_ago_ms =
            (LrClock_Now() - report->broken_at) / LR_MILLISECOND;
    }
    /* Probes would spread it as well, but while they do, each daemon that has
     * not heard of it may crash a target of every shard. */
    if (report->event == LR_CRASH_EVENT_QUARANTINED) {
        send_to_all(daemon, &message);
        return;
    }
    RankedPeer peers[MAX_REPORT_PEERS];
    size_t n = pick_report_peers(daemon, report->fingerprint.content, peers);
    for (size_t i = 0; i < n; i++) {
        LrPeers_Send(daemon->peers, peers[i].member->address,
                     &LrCrashReportMsg_Descriptor, &message);
    }
}

void
LrFleet_SendCrashReports(LrDaemon *daemon)
{
    if (!daemon->fleet_stopped) {
        LrEngine_EachCrashReport(daemon->engine, send_crash_report, daemon);
    }
}

static void
apply_leaving(LrDaemon *daemon, const LrProbeMsg *message, LrTime now)
{
    LrTargets *targets = LrEngine_Targets(daemon->engine);
    for (size_t i = 0; i < message->n_leaving; i++) {
        const LrLeavingTargetMsg *row = &message->leaving[i];
        LrTime left = MIN(row->left_ms * LR_MILLISECOND, LR_LEAVING_TTL);
        LrTarget *target = LrTargets_LookupRemembered(targets, row->address);
        if (row->by_target) {
            LrLeavingTargets_Add(daemon->stated_leaving, row->address,
                                 now + left);
            if (target) {
                LrTargets_MarkLeavingUntil(
                    targets, target, LR_LEAVING_BY_REPLY, now + left, now);
            }
            continue;
        }
        LrLeavingTargets_Add(daemon->leaving, row->address, now + left);
        if (target) {
            LrTargets_MarkLeaving(targets, target, LR_LEAVING_BY_HOST_LIST,
                                  now);
        }
    }
}

static void
apply_limits(LrDaemon *daemon, const LrProbeMsg *message, LrTime now)
{
    LrTargets *targets = LrEngine_Targets(daemon->engine);
    for (size_t i = 0; i < message->n_limits; i++) {
        const LrTargetLimitMsg *row = &message->limits[i];
        LrTarget *target = LrTargets_LookupRemembered(targets, row->target);
        if (target) {
            LrLimitedTargets_OnPeerReport(LrTargets_Limited(targets), target,
                                          row, now);
        }
    }
}

static void
apply_evacuations(LrDaemon *daemon, const LrProbeMsg *message)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    size_t n = MIN(message->n_evacuated, LR_MAX_EVACUATED_ZONES);
    for (size_t i = 0; i < n; i++) {
        zones[i] = message->evacuated[i].zone;
    }
    daemon->told_of_evacuations = true;
    LrActiveCatalogue_SetEvacuations(daemon->active_catalogue,
                                     message->evacuations_revision, zones, n,
                                     "peer");
    daemon->told_of_evacuations = false;
}

/* Records that a daemon of the sender's zone was heard from. The first update
 * of a probe describes its sender. */
static void
record_zone_contact(LrDaemon *daemon, const LrProbeMsg *message, LrTime now)
{
    if (message->n_news > 0) {
        LrZoneDetector *reach =
            LrTargets_ZoneDetector(LrEngine_Targets(daemon->engine));
        LrZone *zone =
            LrZoneDetector_GetZone(reach, message->news[0].zone, now);
        LrZone_OnContact(zone, now);
        if (zone->local && message->isolated) {
            LrZoneDetector_OnIsolationReport(reach, now);
        }
    }
}

static void
on_probe(LrDaemon *daemon, const LrProbeMsg *message)
{
    LrTime now = LrClock_Now();
    LrMembers_OnProbe(daemon->members, message, now);
    daemon->last_probe_at = now;
    record_zone_contact(daemon, message, now);
    apply_config_age(daemon, message, now);
    apply_quarantined(daemon, message, now);
    apply_leaving(daemon, message, now);
    apply_limits(daemon, message, now);
    apply_evacuations(daemon, message);
    if (message->n_news > 0) {
        LrCatalogueSync_OnNews(daemon->catalogue_sync,
                               message->news[0].address, message->revision,
                               now);
    }
}

/* Peers that are sent one loan request. */
enum { MAX_LOAN_REQUESTS = 7 };

/* Asks a few peers, starting at a random one, to lend a part of their quota
 * of an entry's fleet-wide limit. */
static void
request_loans(void *data, const LrEntrySpec *spec, LrTime asked_at)
{
    LrDaemon *daemon = data;
    LrLoanRequestMsg request = {
        .entry = spec->name,
        .reply_to = daemon->settings.peer_address,
        .asked_at = asked_at,
        .concurrency = spec->max_concurrency,
        .rate = spec->rate_per_s,
    };
    size_t n = LrMembers_Count(daemon->members);
    size_t start =
        LrRandom_Below(LrEngine_Random(daemon->engine), (uint32_t)n);
    unsigned n_requests = 0;
    for (size_t i = 0; i < n && n_requests < MAX_LOAN_REQUESTS; i++) {
        const LrMember *member =
            LrMembers_Get(daemon->members, (start + i) % n);
        if (member->state == LR_MEMBER_ALIVE &&
            !LrStr_Equal(member->name, daemon->settings.name)) {
            LrPeers_Send(daemon->peers, member->address,
                         &LrLoanRequestMsg_Descriptor, &request);
            n_requests++;
        }
    }
}

static void
on_borrow(LrDaemon *daemon, const LrLoanRequestMsg *message)
{
    LrLoanMsg loan;
    LrEngine_Lend(daemon->engine, LrClock_Now(), message, &loan);
    if (loan.concurrency > 0 || loan.rate > 0) {
        LrCounters_Add(daemon->counters, LR_COUNT_LOANS_GIVEN, 1);
        LrPeers_Send(daemon->peers, message->reply_to, &LrLoanMsg_Descriptor,
                     &loan);
    }
}

/* Only daemons with a routed contract forward queries. */
static void
dispatch_forward(LrForward *forward, int tag, const void *message)
{
    switch (tag) {
    case LR_MSG_FORWARD:
        LrForward_OnRequest(forward, message);
        break;
    case LR_MSG_FORWARD_ANSWER:
        LrForward_OnAnswer(forward, message);
        break;
    default:
        LrForward_OnCommand(forward, message);
        break;
    }
}

static void
dispatch(LrDaemon *daemon, int tag, const void *message)
{
    switch (tag) {
    case LR_MSG_FORWARD:
    case LR_MSG_FORWARD_ANSWER:
    case LR_MSG_FORWARD_COMMAND:
        if (daemon->gateway) {
            dispatch_forward(LrGateway_Forward(daemon->gateway), tag, message);
        }
        break;
    case LR_MSG_PROBE:
        on_probe(daemon, message);
        break;
    case LR_MSG_DELTA_REQUEST:
        LrCatalogueSync_OnRequest(daemon->catalogue_sync, message);
        break;
    case LR_MSG_DELTA:
        LrCatalogueSync_OnDelta(daemon->catalogue_sync, message);
        break;
    case LR_MSG_PACKED_DELTA:
        LrCatalogueSync_OnPackedDelta(daemon->catalogue_sync, message);
        break;
    case LR_MSG_KEYED_CALL:
        LrKeyedCall_OnPeerCall(daemon, message);
        break;
    case LR_MSG_KEYED_CALL_ANSWER:
        LrKeyedCall_OnPeerAnswer(daemon, message);
        break;
    case LR_MSG_RELAY:
        LrRelay_OnRequest(daemon->relay, message);
        break;
    case LR_MSG_RELAY_ANSWER:
        LrRelay_OnAnswer(daemon->relay, message);
        break;
    case LR_MSG_RELAY_CANCEL:
        LrRelay_OnCancel(daemon->relay, message);
        break;
    case LR_MSG_HANDOFF:
        LrHandoff_OnHandoff(daemon->handoff, message);
        break;
    case LR_MSG_HANDOFF_ACK:
        LrHandoff_OnAck(daemon->handoff, message);
        break;
    case LR_MSG_HANDOFF_NOTICE:
        LrHandoff_OnNotice(daemon->handoff, message);
        break;
    case LR_MSG_CRASH_REPORT:
        on_crash_report(daemon, message);
        break;
    case LR_MSG_LOAN_REQUEST:
        on_borrow(daemon, message);
        break;
    case LR_MSG_LOAN:
        LrEngine_TakeLoan(daemon->engine, LrClock_Now(), message);
        break;
    default:
        break;
    }
}

/* Returns false when the message violates the protocol. Messages with a tag
 * that this version doesn't know are ignored. */
static bool
on_message(void *data, LrStr frame)
{
    LrDaemon *daemon = data;
    int tag = LrRecord_PeekTag(frame);
    if (tag < 0) {
        return false;
    }
    if ((size_t)tag >= G_N_ELEMENTS(MESSAGE_SPECS) || !MESSAGE_SPECS[tag]) {
        return true;
    }
    LrEngine_Advance(daemon->engine, LrClock_Now());
    LrArena *arena = LrArena_New();
    void *message = LrArena_Alloc(arena, MESSAGE_SPECS[tag]->size);
    bool valid =
        LrRecord_Unpack(MESSAGE_SPECS[tag], frame, message, arena, NULL);
    if (valid) {
        dispatch(daemon, tag, message);
    }
    LrArena_Free(arena);
    LrDaemon_RunActions(daemon);
    return valid;
}

static void
on_peer_disconnect(void *data, LrStr address)
{
    LrDaemon *daemon = data;
    LrKeyedCall_OnDisconnect(daemon, address);
    LrRelay_OnDisconnect(daemon->relay, address);
    if (!daemon->fleet_stopped && daemon->gateway) {
        LrForward_OnDisconnect(LrGateway_Forward(daemon->gateway), address);
    }
    if (!daemon->fleet_stopped) {
        LrDaemon_RunActions(daemon);
    }
}

void
LrFleet_UpdateReaderRole(LrDaemon *daemon, LrTime now)
{
    const LrSettings *settings = &daemon->settings;
    LrReaderInput input = {
        .now = now,
        .started_at = daemon->started_at,
        .first_start = settings->first_start,
        .is_seed = LrReaders_IsSeed(settings->seeds, settings->peer_address),
        .has_catalogue = LrEngine_View(daemon->engine) != NULL &&
                         LrFleet_KnowsEvacuations(daemon),
        .zone_rank = LrMembers_ZoneRank(daemon->members),
        .readers_per_zone = (unsigned)settings->readers_per_zone,
        .peer_silence = now - daemon->last_probe_at,
        .peer_timeout =
            LrReaders_PeerTimeout(LrMembers_SuspicionTimeout(daemon->members),
                                  settings->probe_ms * LR_MILLISECOND),
        .freshest_read_age = config_age_ms(daemon, now) * LR_MILLISECOND,
        .watch_wait = settings->watch_wait_ms * LR_MILLISECOND,
    };
    daemon->deployment->source->set_reading(daemon->source,
                                            LrReaders_ShouldRead(&input));
}

static int
by_name(gconstpointer a, gconstpointer b)
{
    return LrStr_Compare(((const LrPeerSpec *)a)->name,
                         ((const LrPeerSpec *)b)->name);
}

/* A daemon of an earlier build would send what it is handed to targets of an
 * evacuated zone. */
static bool
may_run_requests(const LrDaemon *daemon, const LrMember *member)
{
    return !member->ignores_evacuations ||
           !LrTargets_HasEvacuatedZones(LrEngine_Targets(daemon->engine));
}

/* Selects the aggregators anew from the daemons that are alive, and those that
 * can run requests for this one. */
static void
set_aggregators(LrDaemon *daemon, LrTime now)
{
    GArray *alive = g_array_new(FALSE, FALSE, sizeof(LrPeerSpec));
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (member->state == LR_MEMBER_ALIVE &&
            may_run_requests(daemon, member)) {
            LrPeerSpec peer = {.name = member->name,
                               .zone = member->zone,
                               .address = member->address,
                               .speed = member->speed,
                               .incarnation = member->incarnation};
            g_array_append_val(alive, peer);
        }
    }
    LrPeerSpec *rows = (LrPeerSpec *)(void *)alive->data;
    LrPeerAvailability_SetDaemons(daemon->peer_availability, rows, alive->len);
    LrAggregators_SetDaemons(daemon->aggregators, now, rows, alive->len);
    LrDelegates_SetDaemons(daemon->delegates, rows, alive->len);
    g_array_unref(alive);
    LrEngine_SetLimitDivisor(daemon->engine, now,
                             LrAggregators_LimitDivisor(daemon->aggregators));
}

/* Tells the engine which daemons can take relayed sub-requests. */
static void
set_peers(LrDaemon *daemon, LrTime now)
{
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(LrPeerSpec));
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (member->state == LR_MEMBER_ALIVE ||
            member->state == LR_MEMBER_SUSPECT) {
            LrPeerSpec peer = {.name = member->name,
                               .zone = member->zone,
                               .address = member->address,
                               .speed = member->speed};
            g_array_append_val(peers, peer);
        }
    }
    g_array_sort(peers, by_name);
    LrEngine_SetPeers(daemon->engine, now, daemon->settings.name,
                      (const LrPeerSpec *)(void *)peers->data, peers->len,
                      (uint32_t)daemon->settings.target_links);
    g_array_unref(peers);
}

/* Peers are told of targets that said that they are leaving, also by those
 * that learnt it from a peer; the time of the mark is passed on and not
 * renewed. */
static void
add_stated_leaving(void *data, LrTarget *target)
{
    LrDaemon *daemon = data;
    LrTime now = LrClock_Now();
    if ((target->leaving_sources & LR_LEAVING_BY_REPLY) &&
        LrTargets_IsLeaving(target, now)) {
        LrLeavingTargets_Add(daemon->stated_leaving, target->key,
                             MIN(target->leaving_until, now + LEAVING_MEMORY));
    }
}

static void
mark_until(LrDaemon *daemon, LrTarget *target, LrLeavingSource source,
           LrTime until)
{
    LrTime now = LrClock_Now();
    bool known = LrTargets_IsLeaving(target, now) &&
                 (target->leaving_sources & (unsigned)source);
    if (until > now && !known) {
        LrTargets_MarkLeavingUntil(LrEngine_Targets(daemon->engine), target,
                                   source, until, now);
    }
}

static void
mark_if_known(void *data, LrTarget *target)
{
    LrDaemon *daemon = data;
    mark_until(daemon, target, LR_LEAVING_BY_REPLY,
               LrLeavingTargets_ExpiryOf(daemon->stated_leaving, target->key));
    mark_until(daemon, target, LR_LEAVING_BY_HOST_LIST,
               LrLeavingTargets_ExpiryOf(daemon->leaving, target->key));
}

void
LrFleet_MarkKnownLeaving(LrDaemon *daemon)
{
    LrTargets_Each(LrEngine_Targets(daemon->engine), mark_if_known, daemon);
}

static void
on_interval(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrDaemon *daemon = timer->data;
    LrTime now = LrClock_Now();
    LrMembers_Tick(daemon->members, now);
    LrActiveCatalogue_ExpireHeld(daemon->active_catalogue, now);
    LrTargets_Each(LrEngine_Targets(daemon->engine), add_stated_leaving,
                   daemon);
    LrFleet_UpdateReaderRole(daemon, now);
    unsigned count;
    unsigned rank = LrMembers_FleetRank(daemon->members, &count);
    LrEngine_SetQuota(daemon->engine, now, rank, count);
    if (daemon->gateway) {
        set_aggregators(daemon, now);
    }
    set_peers(daemon, now);
    LrEngine_EachLoanRequest(daemon->engine, now, request_loans, daemon);
    LrDaemon_RunActions(daemon);
}

static uint64_t
evacuations_digest(const LrDaemon *daemon)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    size_t n = LrValueSet_EvacuatedZones(
        LrActiveCatalogue_Values(daemon->active_catalogue), zones);
    uint64_t digest = 0;
    for (size_t i = 0; i < n; i++) {
        digest = MAX(1, LrStr_Hash(zones[i], digest));
    }
    return digest;
}

void
LrFleet_TellEvacuations(LrDaemon *daemon)
{
    uint64_t digest = evacuations_digest(daemon);
    bool changed = digest != daemon->evacuations_digest;
    daemon->evacuations_digest = digest;
    /* Readers tell everybody: the next probes would take seconds in a large
     * fleet. Who learns it from a peer leaves it to the probes. */
    if (changed && !daemon->told_of_evacuations) {
        LrMembers_TellAll(daemon->members);
    }
}

bool
LrFleet_KnowsEvacuations(const LrDaemon *daemon)
{
    return !daemon->deployment->contract ||
           LrValueSet_EvacuationsRevision(
               LrActiveCatalogue_Values(daemon->active_catalogue)) > 0;
}

void
LrFleet_ProbeZone(LrDaemon *daemon)
{
    LrMembers_ProbeZone(daemon->members);
}

static LrMembers *
new_members(LrDaemon *daemon)
{
    LrMembersConfig config = {
        .name = daemon->settings.name,
        .zone = daemon->settings.zone,
        .address = daemon->settings.peer_address,
        .speed = daemon->settings.speed,
        .incarnation = daemon->incarnation,
        .probe_interval = daemon->settings.probe_ms * LR_MILLISECOND,
        .seeds = daemon->settings.seeds,
        .random = LrEngine_Random(daemon->engine),
        .log = daemon->log,
        .counters = daemon->counters,
        .send = send_probe,
        .data = daemon,
    };
    return LrMembers_New(&config, LrClock_Now());
}

bool
LrFleet_Start(LrDaemon *daemon, GError **error)
{
    LrPeersConfig config = {
        .loop = daemon->loop,
        .listen = daemon->settings.peer_listen,
        .name = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .log = daemon->log,
        .counters = daemon->counters,
        .on_message = on_message,
        .on_disconnect = on_peer_disconnect,
        .data = daemon,
    };
    daemon->peers = LrPeers_New(&config, error);
    if (!daemon->peers) {
        return false;
    }
    daemon->members = new_members(daemon);
    daemon->last_probe_at = LrClock_Now();
    double seconds = (double)daemon->settings.probe_ms / 1000;
    ev_timer_init(&daemon->probe_timer, on_interval, 0, seconds);
    daemon->probe_timer.data = daemon;
    ev_timer_start(daemon->loop, &daemon->probe_timer);
    return true;
}

void
LrFleet_Stop(LrDaemon *daemon)
{
    daemon->fleet_stopped = true;
    ev_timer_stop(daemon->loop, &daemon->probe_timer);
    LrPeers_Free(daemon->peers);
    daemon->peers = NULL;
    LrMembers_Free(daemon->members);
    daemon->members = NULL;
}

json_t *
LrFleet_Dump(const LrDaemon *daemon)
{
    json_t *list = json_array();
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        json_array_append_new(
            list,
            json_pack("{s:s%, s:s%, s:s%, s:s, s:s, s:I, s:I, s:b, s:I}",
                      "name", member->name.ptr, member->name.len, "zone",
                      member->zone.ptr, member->zone.len, "address",
                      member->address.ptr, member->address.len, "state",
                      LrMemberState_Names[member->state], "forwarding",
                      LrPeerState_Names[LrPeerAvailability_Get(
                          daemon->peer_availability, member->address,
                          LrClock_Now())],
                      "incarnation", (json_int_t)member->incarnation, "serial",
                      (json_int_t)member->serial, "listed", member->listed,
                      "since_ms",
                      (json_int_t)((LrClock_Now() - member->state_since) /
                                   LR_MILLISECOND)));
    }
    return list;
}
