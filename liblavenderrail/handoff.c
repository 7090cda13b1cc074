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
#define ACK_WAIT_SECONDS 1.0

/* A coordinator that has stopped, and the daemon that took its keys over. */
typedef struct {
    char *name;
    char *successor;
    LrTime until;
} Heir;

struct LrHandoff {
    LrDaemon *daemon;
    /* Keyed by "name/incarnation" of the coordinator. */
    GHashTable *heirs;
    char *successor;
    ev_timer wait;
    bool started;
    bool ended;
};

static void
free_heir(gpointer data)
{
    Heir *heir = data;
    g_free(heir->name);
    g_free(heir->successor);
    g_free(heir);
}

LrHandoff *
LrHandoff_New(LrDaemon *daemon)
{
    LrHandoff *yield = g_new0(LrHandoff, 1);
    yield->daemon = daemon;
    yield->heirs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_heir);
    return yield;
}

void
LrHandoff_Free(LrHandoff *yield)
{
    if (!yield) {
        return;
    }
    ev_timer_stop(yield->daemon->loop, &yield->wait);
    g_hash_table_unref(yield->heirs);
    g_free(yield->successor);
    g_free(yield);
}

static char *
heir_name(LrStr host, int64_t incarnation)
{
    return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, (int)host.len, host.ptr,
                           incarnation);
}

static gboolean
heir_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((Heir *)value)->until <= *(LrTime *)data;
}

static void
add_heir(LrHandoff *yield, LrStr host, int64_t incarnation, LrStr successor,
         LrTime until)
{
    LrTime now = LrClock_Now();
    g_hash_table_foreach_remove(yield->heirs, heir_expired, &now);
    Heir *heir = g_new0(Heir, 1);
    heir->name = heir_name(host, incarnation);
    heir->successor = LrStr_Dup(successor);
    heir->until = until;
    g_hash_table_replace(yield->heirs, heir->name, heir);
}

LrStr
LrHandoff_Successor(const LrHandoff *yield, const LrIdempotencyKey *key)
{
    g_autofree char *name = heir_name(key->host, key->incarnation);
    const Heir *heir = g_hash_table_lookup(yield->heirs, name);
    return LrStr_FromC(heir ? heir->successor : "");
}

bool
LrHandoff_HasStarted(const LrHandoff *yield)
{
    return yield->started;
}

static void
end_yield(LrHandoff *yield)
{
    yield->ended = true;
    ev_timer_stop(yield->daemon->loop, &yield->wait);
}

static void
on_no_ack(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrHandoff *yield = timer->data;
    LR_LOG(yield->daemon->log, LOG_WARNING, "yield_failed",
           LrLog_CStr("successor", yield->successor));
    end_yield(yield);
}

/* Selects an alive daemon by rendezvous hashing. */
static const LrMember *
pick_successor(const LrDaemon *daemon)
{
    const LrMember *best = NULL;
    uint64_t heaviest = 0;
    uint64_t seed = LrStr_Hash(daemon->settings.name, 0);
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        bool self = LrStr_Equal(member->name, daemon->settings.name);
        if (self || member->state != LR_MEMBER_ALIVE ||
            member->incarnation <= 0) {
            continue;
        }
        uint64_t weight = LrStr_Hash(member->name, seed);
        if (!best || weight > heaviest) {
            best = member;
            heaviest = weight;
        }
    }
    return best;
}

typedef struct {
    LrArena *arena;
    GArray *rows;
    LrTime now;
} Rows;

static void
add_row(void *data, const LrLedgerRow *row)
{
    Rows *rows = data;
    if (!row->finished || row->not_run || row->expires_at <= rows->now) {
        return;
    }
    char text[24];
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
               row->fingerprint);
    LrHandoffRowMsg message = {
        .key = row->key,
        .fingerprint = LrArena_Copy(rows->arena, LrStr_FromC(text)),
        .outcome = row->outcome,
        .status = row->status,
        .left_ms = (row->expires_at - rows->now) / LR_MILLISECOND,
        .body = LrStr_FromBytes(row->answer),
    };
    g_array_append_val(rows->rows, message);
}

static bool
send_ledger(LrHandoff *yield, LrStr address)
{
    LrDaemon *daemon = yield->daemon;
    Rows rows = {
        .arena = LrArena_New(),
        .rows = g_array_new(FALSE, FALSE, sizeof(LrHandoffRowMsg)),
        .now = LrClock_Now(),
    };
    LrLedger_Each(daemon->ledger, add_row, &rows);
    LrHandoffMsg message = {
        .name = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .reply_to = daemon->settings.peer_address,
        .rows = (LrHandoffRowMsg *)(void *)rows.rows->data,
        .n_rows = rows.rows->len,
    };
    bool sent =
        LrPeers_Send(daemon->peers, address, &LrHandoffMsg_Spec, &message);
    g_array_unref(rows.rows);
    LrArena_Free(rows.arena);
    return sent;
}

bool
LrHandoff_Step(LrHandoff *yield)
{
    LrDaemon *daemon = yield->daemon;
    if (yield->started) {
        return yield->ended;
    }
    yield->started = true;
    const LrMember *successor = pick_successor(daemon);
    if (!successor || !send_ledger(yield, successor->address)) {
        yield->ended = true;
        return true;
    }
    yield->successor = LrStr_Dup(successor->address);
    ev_timer_init(&yield->wait, on_no_ack, ACK_WAIT_SECONDS, 0);
    yield->wait.data = yield;
    ev_timer_start(daemon->loop, &yield->wait);
    return false;
}

static void
take_row(LrDaemon *daemon, const LrHandoffRowMsg *message, LrTime now)
{
    g_autofree char *text = LrStr_Dup(message->fingerprint);
    uint64_t fingerprint;
    LrLedgerRow *row;
    if (!g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &fingerprint,
                                    NULL)) {
        return;
    }
    LrTime until = now + message->left_ms * LR_MILLISECOND;
    if (LrLedger_Claim(daemon->ledger, message->key, fingerprint, now, until,
                       &row) != LR_CLAIM_RUN) {
        return;
    }
    GBytes *body = g_bytes_new(message->body.ptr, message->body.len);
    LrLedger_Finish(daemon->ledger, row, message->outcome,
                    (int)message->status, body);
    g_bytes_unref(body);
    LrCounters_Add(daemon->counters, LR_COUNT_KEYS_TAKEN_OVER, 1);
}

void
LrHandoff_OnHandoff(LrHandoff *yield, const LrHandoffMsg *message)
{
    LrDaemon *daemon = yield->daemon;
    size_t room =
        (size_t)daemon->settings.ledger_slots - LrLedger_Count(daemon->ledger);
    if (daemon->stopping || yield->started || message->n_rows > room) {
        return;
    }
    LrTime now = LrClock_Now();
    for (size_t i = 0; i < message->n_rows; i++) {
        take_row(daemon, &message->rows[i], now);
    }
    add_heir(yield, message->name, message->incarnation,
             daemon->settings.peer_address,
             now + daemon->settings.key_ttl_ms * LR_MILLISECOND);
    LrHandoffAckMsg ack = {
        .name = message->name,
        .incarnation = message->incarnation,
    };
    LrPeers_Send(daemon->peers, message->reply_to, &LrHandoffAckMsg_Spec,
                 &ack);
}

void
LrHandoff_OnAck(LrHandoff *yield, const LrHandoffAckMsg *message)
{
    LrDaemon *daemon = yield->daemon;
    if (!yield->started || yield->ended ||
        message->incarnation != daemon->incarnation) {
        return;
    }
    LrHandoffNoticeMsg notice = {
        .name = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .successor = LrStr_FromC(yield->successor),
        .left_ms = daemon->settings.key_ttl_ms,
    };
    for (size_t i = 0; i < LrMembers_Count(daemon->members); i++) {
        const LrMember *member = LrMembers_Get(daemon->members, i);
        if (member->state != LR_MEMBER_DEAD &&
            !LrStr_Equal(member->name, daemon->settings.name)) {
            LrPeers_Send(daemon->peers, member->address,
                         &LrHandoffNoticeMsg_Spec, &notice);
        }
    }
    add_heir(yield, notice.name, notice.incarnation, notice.successor,
             LR_NEVER);
    LR_LOG(daemon->log, LOG_NOTICE, "keys_yielded",
           LrLog_CStr("successor", yield->successor),
           LrLog_Int("rows", (int64_t)LrLedger_Count(daemon->ledger)));
    end_yield(yield);
}

void
LrHandoff_OnNotice(LrHandoff *yield, const LrHandoffNoticeMsg *message)
{
    add_heir(yield, message->name, message->incarnation, message->successor,
             LrClock_Now() + message->left_ms * LR_MILLISECOND);
}
