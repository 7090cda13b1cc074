/* Handoff of idempotency keys at a graceful shutdown.
 *
 * The coordinator that stops first drains: it finishes the requests that run
 * and accepts no keyed requests any more. Then it sends its ledger to one
 * other daemon, the successor. Once the successor has acknowledged the
 * ledger, it coordinates these keys: it replays the answers of finished
 * requests and may run requests that never ran. All members are notified, so
 * that they forward resent requests to the successor. Without an
 * acknowledgement there is no successor, and resent requests end with the
 * outcome unknown. */
#include "daemon.h"

#include <string.h>

/* The shutdown goes on without an acknowledgement after this time. */
#define ACK_TIMEOUT_SECONDS 1.0

/* A coordinator that has stopped, and the daemon that took its keys over. */
typedef struct {
    char *coordinator;
    char *successor;
    LrTime expires_at;
} SuccessorRecord;

struct LrHandoff {
    LrDaemon *daemon;
    /* Keyed by "name/incarnation" of the coordinator. */
    GHashTable *successors;
    char *successor;
    ev_timer ack_timer;
    bool started;
    bool ended;
};

static void
free_record(gpointer data)
{
    SuccessorRecord *record = data;
    g_free(record->coordinator);
    g_free(record->successor);
    g_free(record);
}

LrHandoff *
LrHandoff_New(LrDaemon *daemon)
{
    LrHandoff *handoff = g_new0(LrHandoff, 1);
    handoff->daemon = daemon;
    handoff->successors =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record);
    return handoff;
}

void
LrHandoff_Free(LrHandoff *handoff)
{
    if (!handoff) {
        return;
    }
    ev_timer_stop(handoff->daemon->loop, &handoff->ack_timer);
    g_hash_table_unref(handoff->successors);
    g_free(handoff->successor);
    g_free(handoff);
}

static char *
coordinator_id(LrStr host, int64_t incarnation)
{
    return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, (int)host.len, host.ptr,
                           incarnation);
}

static gboolean
record_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((SuccessorRecord *)value)->expires_at <= *(LrTime *)data;
}

static void
add_successor(LrHandoff *handoff, LrStr host, int64_t incarnation,
              LrStr successor, LrTime expires_at)
{
    LrTime now = LrClock_Now();
    g_hash_table_foreach_remove(handoff->successors, record_expired, &now);
    SuccessorRecord *record = g_new0(SuccessorRecord, 1);
    record->coordinator = coordinator_id(host, incarnation);
    record->successor = LrStr_Dup(successor);
    record->expires_at = expires_at;
    g_hash_table_replace(handoff->successors, record->coordinator, record);
}

LrStr
LrHandoff_Successor(const LrHandoff *handoff, const LrIdempotencyKey *key)
{
    g_autofree char *name = coordinator_id(key->host, key->incarnation);
    const SuccessorRecord *record =
        g_hash_table_lookup(handoff->successors, name);
    return LrStr_FromC(record ? record->successor : "");
}

bool
LrHandoff_HasStarted(const LrHandoff *handoff)
{
    return handoff->started;
}

static void
end_handoff(LrHandoff *handoff)
{
    handoff->ended = true;
    ev_timer_stop(handoff->daemon->loop, &handoff->ack_timer);
}

static void
on_ack_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrHandoff *handoff = timer->data;
    LR_LOG(handoff->daemon->log, LOG_WARNING, "yield_failed",
           LrLog_CStr("successor", handoff->successor));
    end_handoff(handoff);
}

/* Selects an alive daemon by rendezvous hashing. */
static const LrMember *
pick_successor(const LrDaemon *daemon)
{
    const LrMember *best = NULL;
    uint64_t max_weight = 0;
    uint64_t seed = LrStr_Hash(daemon->settings.name, 0);
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        bool self = LrStr_Equal(member->name, daemon->settings.name);
        if (self || member->state != LR_MEMBER_ALIVE ||
            member->incarnation <= 0) {
            continue;
        }
        uint64_t weight = LrStr_Hash(member->name, seed);
        if (!best || weight > max_weight) {
            best = member;
            max_weight = weight;
        }
    }
    return best;
}

typedef struct {
    LrArena *arena;
    GArray *rows;
    LrTime now;
} RowCollector;

static void
add_row(void *data, const LrLedgerRow *row)
{
    RowCollector *collector = data;
    if (!row->finished || row->not_run || row->expires_at <= collector->now) {
        return;
    }
    char text[24];
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
               row->fingerprint);
    LrHandoffRowMsg message = {
        .key = row->key,
        .fingerprint = LrArena_Copy(collector->arena, LrStr_FromC(text)),
        .outcome = row->outcome,
        .status = row->status,
        .left_ms = (row->expires_at - collector->now) / LR_MILLISECOND,
        .body = LrStr_FromBytes(row->answer),
    };
    g_array_append_val(collector->rows, message);
}

static bool
send_ledger(LrHandoff *handoff, LrStr address)
{
    LrDaemon *daemon = handoff->daemon;
    RowCollector collector = {
        .arena = LrArena_New(),
        .rows = g_array_new(FALSE, FALSE, sizeof(LrHandoffRowMsg)),
        .now = LrClock_Now(),
    };
    LrLedger_Each(daemon->ledger, add_row, &collector);
    LrHandoffMsg message = {
        .name = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .reply_to = daemon->settings.peer_address,
        .rows = (LrHandoffRowMsg *)(void *)collector.rows->data,
        .n_rows = collector.rows->len,
    };
    bool sent = LrPeers_Send(daemon->peers, address, &LrHandoffMsg_Descriptor,
                             &message);
    g_array_unref(collector.rows);
    LrArena_Free(collector.arena);
    return sent;
}

bool
LrHandoff_Step(LrHandoff *handoff)
{
    LrDaemon *daemon = handoff->daemon;
    if (handoff->started) {
        return handoff->ended;
    }
    handoff->started = true;
    const LrMember *successor = pick_successor(daemon);
    if (!successor || !send_ledger(handoff, successor->address)) {
        handoff->ended = true;
        return true;
    }
    handoff->successor = LrStr_Dup(successor->address);
    ev_timer_init(&handoff->ack_timer, on_ack_timeout, ACK_TIMEOUT_SECONDS, 0);
    handoff->ack_timer.data = handoff;
    ev_timer_start(daemon->loop, &handoff->ack_timer);
    return false;
}

static void
import_row(LrDaemon *daemon, const LrHandoffRowMsg *message, LrTime now)
{
    g_autofree char *text = LrStr_Dup(message->fingerprint);
    uint64_t fingerprint;
    LrLedgerRow *row;
    if (!g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &fingerprint,
                                    NULL)) {
        return;
    }
    LrTime expires_at = now + message->left_ms * LR_MILLISECOND;
    if (LrLedger_Claim(daemon->ledger, message->key, fingerprint, now,
                       expires_at, &row) != LR_CLAIM_RUN) {
        return;
    }
    GBytes *body = g_bytes_new(message->body.ptr, message->body.len);
    LrLedger_Finish(daemon->ledger, row, message->outcome,
                    (int)message->status, body);
    g_bytes_unref(body);
    LrCounters_Add(daemon->counters, LR_COUNT_KEYS_TAKEN_OVER, 1);
}

void
LrHandoff_OnHandoff(LrHandoff *handoff, const LrHandoffMsg *message)
{
    LrDaemon *daemon = handoff->daemon;
    size_t room =
        (size_t)daemon->settings.ledger_slots - LrLedger_Count(daemon->ledger);
    if (daemon->stopping || handoff->started || message->n_rows > room) {
        return;
    }
    LrTime now = LrClock_Now();
    for (size_t i = 0; i < message->n_rows; i++) {
        import_row(daemon, &message->rows[i], now);
    }
    add_successor(handoff, message->name, message->incarnation,
                  daemon->settings.peer_address,
                  now + daemon->settings.key_ttl_ms * LR_MILLISECOND);
    LrHandoffAckMsg ack = {
        .name = message->name,
        .incarnation = message->incarnation,
    };
    LrPeers_Send(daemon->peers, message->reply_to, &LrHandoffAckMsg_Descriptor,
                 &ack);
}

void
LrHandoff_OnAck(LrHandoff *handoff, const LrHandoffAckMsg *message)
{
    LrDaemon *daemon = handoff->daemon;
    if (!handoff->started || handoff->ended ||
        message->incarnation != daemon->incarnation) {
        return;
    }
    LrHandoffNoticeMsg notice = {
        .name = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .successor = LrStr_FromC(handoff->successor),
        .left_ms = daemon->settings.key_ttl_ms,
    };
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (member->state != LR_MEMBER_DEAD &&
            !LrStr_Equal(member->name, daemon->settings.name)) {
            LrPeers_Send(daemon->peers, member->address,
                         &LrHandoffNoticeMsg_Descriptor, &notice);
        }
    }
    add_successor(handoff, notice.name, notice.incarnation, notice.successor,
                  LR_NEVER);
    LR_LOG(daemon->log, LOG_NOTICE, "keys_yielded",
           LrLog_CStr("successor", handoff->successor),
           LrLog_Int("rows", (int64_t)LrLedger_Count(daemon->ledger)));
    end_handoff(handoff);
}

void
LrHandoff_OnNotice(LrHandoff *handoff, const LrHandoffNoticeMsg *message)
{
    add_successor(handoff, message->name, message->incarnation,
                  message->successor,
                  LrClock_Now() + message->left_ms * LR_MILLISECOND);
}
