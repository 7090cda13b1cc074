/* Calls of non-idempotent entries, which run at most once per idempotency key.
 *
 * A key's coordinator is the daemon incarnation that issued it, or the daemon
 * that the keys were handed off to. Only the coordinator runs the request, and
 * its ledger keeps the outcome until the key expires. No other daemon can tell
 * whether an earlier copy ran, so without the coordinator the outcome is
 * unknown. */
#include "daemon.h"

#include <string.h>

/* The ledger keeps a key for this long after its expiry. */
#define LEDGER_GRACE (60 * LR_SECOND)
#define JSON_TYPE "application/json"

char *
LrKeyedCall_IssueKey(LrDaemon *daemon)
{
    LrRandom *random = LrEngine_Random(daemon->engine);
    LrIdempotencyKey key = {
        .host = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .expires_ms = LrClock_WallMs() + daemon->settings.key_ttl_ms,
        .nonce = (uint64_t)LrRandom_Below(random, UINT32_MAX) << 32 |
                 LrRandom_Below(random, UINT32_MAX),
    };
    LrCounters_Add(daemon->counters, LR_COUNT_KEYS_ISSUED, 1);
    return LrIdempotencyKey_Format(&key);
}

static void
reply_peer(LrDaemon *daemon, const char *address, int64_t id,
           LrOutcome outcome, unsigned status, GBytes *body)
{
    LrKeyedCallAnswerMsg answer = {
        .id = id,
        .outcome = outcome,
        .status = status,
        .body = LrStr_FromBytes(body),
    };
    LrPeers_Send(daemon->peers, LrStr_FromC(address),
                 &LrKeyedCallAnswerMsg_Descriptor, &answer);
}

/* Sends an outcome to the requester: a caller of this daemon, or a peer. */
static void
deliver(LrPendingRequest *pending, LrOutcome outcome, unsigned status,
        GBytes *body)
{
    if (pending->exchange) {
        LrExchange_SetData(pending->exchange, NULL);
        LrExchange_Reply(pending->exchange, status, JSON_TYPE,
                         g_bytes_ref(body));
    }
    else if (pending->reply_to) {
        reply_peer(pending->daemon, pending->reply_to, pending->remote_id,
                   outcome, status, body);
    }
}

static void
free_pending(LrPendingRequest *pending)
{
    g_free(pending->reply_to);
    g_free(pending->coordinator);
    g_free(pending);
}

static void
deliver_refusal(LrPendingRequest *pending, LrOutcome outcome, LrReason reason,
                const char *hint)
{
    GBytes *body = LrAnswer_RefusalJson(outcome, reason, hint);
    deliver(pending, outcome, LrAnswer_RefusalStatus(outcome, reason), body);
    g_bytes_unref(body);
    free_pending(pending);
}

static void
deliver_row(LrPendingRequest *pending, const LrLedgerRow *row)
{
    deliver(pending, row->outcome, (unsigned)row->status, row->answer);
    free_pending(pending);
}

/* Sends the outcome in the row to every request that waits for it. */
static void
deliver_to_waiters(LrLedgerRow *row)
{
    GPtrArray *waiters = row->waiters;
    row->waiters = g_ptr_array_new();
    for (guint i = 0; i < waiters->len; i++) {
        deliver_row(waiters->pdata[i], row);
    }
    g_ptr_array_unref(waiters);
}

void
LrKeyedCall_OnEngineAnswer(LrPendingRequest *pending, const LrAnswer *answer)
{
    LrDaemon *daemon = pending->daemon;
    GBytes *text = LrAnswer_ToJson(answer);
    LrLedger_Finish(daemon->ledger, pending->row, answer->outcome,
                    (int)LrAnswer_Status(answer), text);
    g_bytes_unref(text);
    deliver_to_waiters(pending->row);
    free_pending(pending);
}

/* The caller closed its connection. Its request goes on, so that the caller
 * gets the outcome when it sends the request again. */
void
LrKeyedCall_CallerGone(LrDaemon *daemon, LrExchange *exchange)
{
    (void)daemon;
    LrPendingRequest *pending = LrExchange_Data(exchange);
    pending->exchange = NULL;
}

/* Runs the request; the answer goes to the row, for all who wait for it. */
static void
run(LrDaemon *daemon, LrStr entry, LrStr key, GBytes *body, LrTime timeout,
    LrLedgerRow *row)
{
    LrPendingRequest *pending = g_new0(LrPendingRequest, 1);
    pending->daemon = daemon;
    pending->row = row;
    LrRequest request = {
        .entry = entry,
        .body = body,
        .single_shard = true,
        .routing_key = key,
        .key = key,
        .timeout = timeout,
        .data = pending,
    };
    pending->query = LrEngine_Submit(daemon->engine, LrClock_Now(), &request);
}

/* Claims the key in this daemon's ledger for a caller or a peer. */
static void
claim(LrPendingRequest *pending, LrStr entry, LrStr text,
      const LrIdempotencyKey *key, GBytes *body, LrTime timeout)
{
    LrDaemon *daemon = pending->daemon;
    LrTime remaining = (key->expires_ms - LrClock_WallMs()) * LR_MILLISECOND;
    LrTime now = LrClock_Now();
    uint64_t fingerprint =
        LrQuarantine_HashContent(entry, LrStr_FromBytes(body));
    LrLedgerRow *row;
    switch (LrLedger_Claim(daemon->ledger, text, fingerprint, now,
                           now + remaining + LEDGER_GRACE, &row)) {
    case LR_CLAIM_RUN:
        pending->row = row;
        g_ptr_array_add(row->waiters, pending);
        run(daemon, entry, text, body, timeout, row);
        break;
    case LR_CLAIM_WAIT:
        pending->row = row;
        g_ptr_array_add(row->waiters, pending);
        break;
    case LR_CLAIM_REPLAY:
        LrCounters_Add(daemon->counters, LR_COUNT_KEYS_REPLAYED, 1);
        deliver_row(pending, row);
        break;
    case LR_CLAIM_CONFLICT:
        deliver_refusal(pending, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_CONFLICT,
                        "the key was used with another request");
        break;
    case LR_CLAIM_FULL:
        deliver_refusal(pending, LR_OUTCOME_NOT_RUN, LR_REASON_LEDGER_FULL,
                        "try again later");
        break;
    }
}

static void
fail_unreachable(LrPendingRequest *pending)
{
    LrDaemon *daemon = pending->daemon;
    ev_timer_stop(daemon->loop, &pending->timer);
    g_hash_table_remove(daemon->forwarded_calls, &pending->id);
    deliver_refusal(pending, LR_OUTCOME_UNKNOWN, LR_REASON_COORDINATOR_LOST,
                    "the host that issued the key cannot be reached");
}

static void
on_forward_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    fail_unreachable(timer->data);
}

static LrTime
entry_deadline(const LrDaemon *daemon, LrStr name)
{
    LrView *view = LrEngine_View(daemon->engine);
    const LrEntry *entry = view ? LrView_LookupEntry(view, name) : NULL;
    return entry ? entry->spec->deadline_ms * LR_MILLISECOND : LR_SECOND;
}

/* Address of the key's coordinator: the daemon that the key was handed off to,
 * else its issuer while that is alive; empty when there is none. */
static LrStr
coordinator_address(const LrDaemon *daemon, const LrIdempotencyKey *key)
{
    LrStr successor = LrHandoff_Successor(daemon->handoff, key);
    if (successor.len > 0) {
        return successor;
    }
    const LrMember *member = LrMembers_Lookup(daemon->members, key->host);
    bool alive = member && member->incarnation == key->incarnation &&
                 member->state != LR_MEMBER_DEAD;
    return alive ? member->address : LrStr_FromC("");
}

static void
forward(LrPendingRequest *pending, LrStr entry, LrStr text,
        const LrIdempotencyKey *key, GBytes *body)
{
    LrDaemon *daemon = pending->daemon;
    LrStr address = coordinator_address(daemon, key);
    LrTime deadline = entry_deadline(daemon, entry);
    LrKeyedCallMsg message = {
        .id = ++daemon->next_call_id,
        .entry = entry,
        .key = text,
        .deadline_ms = deadline / LR_MILLISECOND,
        .body = LrStr_FromBytes(body),
        .reply_to = daemon->settings.peer_address,
    };
    pending->forwarded = true;
    pending->id = message.id;
    pending->coordinator = LrStr_Dup(address);
    ev_timer_init(&pending->timer, on_forward_timeout,
                  (double)deadline / (double)LR_SECOND, 0);
    pending->timer.data = pending;
    g_hash_table_insert(daemon->forwarded_calls, &pending->id, pending);
    if (address.len == 0 ||
        !LrPeers_Send(daemon->peers, address, &LrKeyedCallMsg_Descriptor,
                      &message)) {
        fail_unreachable(pending);
        return;
    }
    LrCounters_Add(daemon->counters, LR_COUNT_KEYS_FORWARDED, 1);
    ev_timer_start(daemon->loop, &pending->timer);
}

void
LrKeyedCall_OnPeerAnswer(LrDaemon *daemon, const LrKeyedCallAnswerMsg *message)
{
    LrPendingRequest *pending =
        g_hash_table_lookup(daemon->forwarded_calls, &message->id);
    if (!pending) {
        return;
    }
    ev_timer_stop(daemon->loop, &pending->timer);
    g_hash_table_remove(daemon->forwarded_calls, &pending->id);
    GBytes *body = g_bytes_new(message->body.ptr, message->body.len);
    deliver(pending, message->outcome, (unsigned)message->status, body);
    g_bytes_unref(body);
    free_pending(pending);
}

void
LrKeyedCall_OnDisconnect(LrDaemon *daemon, LrStr address)
{
    GList *calls = g_hash_table_get_values(daemon->forwarded_calls);
    for (GList *at = calls; at; at = at->next) {
        LrPendingRequest *pending = at->data;
        if (pending->coordinator &&
            LrStr_EqualC(address, pending->coordinator)) {
            fail_unreachable(pending);
        }
    }
    g_list_free(calls);
}

/* Whether this daemon is the key's coordinator: the issuer until the handoff
 * begins, then the daemon that took the keys over. */
static bool
is_coordinator(const LrDaemon *daemon, const LrIdempotencyKey *key)
{
    LrStr successor = LrHandoff_Successor(daemon->handoff, key);
    if (successor.len > 0) {
        return LrStr_Equal(successor, daemon->settings.peer_address);
    }
    return LrStr_Equal(key->host, daemon->settings.name) &&
           key->incarnation == daemon->incarnation &&
           !LrHandoff_HasStarted(daemon->handoff);
}

/* Parses and checks the key of a request from a caller or a peer; when it is
 * not valid, refuses the request and frees pending. */
static bool
check_key(LrPendingRequest *pending, LrStr text, LrIdempotencyKey *key)
{
    if (text.len == 0) {
        deliver_refusal(pending, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_REQUIRED,
                        "get a key from POST /v1/keys and send it in the "
                        "Idempotency-Key header");
        return false;
    }
    if (!LrIdempotencyKey_Parse(text, key)) {
        deliver_refusal(pending, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_INVALID,
                        "get a key from POST /v1/keys");
        return false;
    }
    if (key->expires_ms <= LrClock_WallMs()) {
        deliver_refusal(pending, LR_OUTCOME_UNKNOWN, LR_REASON_KEY_EXPIRED,
                        "the key has expired");
        return false;
    }
    return true;
}

void
LrKeyedCall_Handle(LrDaemon *daemon, LrExchange *exchange, LrStr entry)
{
    LrStr text = LrExchange_Header(exchange, "Idempotency-Key");
    GBytes *body = LrExchange_Body(exchange);
    LrPendingRequest *pending = g_new0(LrPendingRequest, 1);
    LrIdempotencyKey key;
    pending->daemon = daemon;
    pending->exchange = exchange;
    LrExchange_SetData(exchange, pending);
    if (!check_key(pending, text, &key)) {
        return;
    }
    if (is_coordinator(daemon, &key)) {
        claim(pending, entry, text, &key, body, 0);
    }
    else {
        forward(pending, entry, text, &key, body);
    }
    LrDaemon_RunActions(daemon);
}

/* A peer forwarded a request whose key this daemon does not coordinate. When
 * this daemon has handed the key off, it forwards to the new coordinator. */
static void
forward_to_successor(LrPendingRequest *pending, const LrKeyedCallMsg *message,
                     const LrIdempotencyKey *key, GBytes *body)
{
    LrDaemon *daemon = pending->daemon;
    LrStr successor = LrHandoff_Successor(daemon->handoff, key);
    bool handed_off = LrStr_Equal(key->host, daemon->settings.name) &&
                      key->incarnation == daemon->incarnation;
    if (handed_off && successor.len > 0) {
        forward(pending, message->entry, message->key, key, body);
        return;
    }
    deliver_refusal(pending, LR_OUTCOME_UNKNOWN, LR_REASON_COORDINATOR_LOST,
                    "the host that issued the key was replaced");
}

void
LrKeyedCall_OnPeerCall(LrDaemon *daemon, const LrKeyedCallMsg *message)
{
    LrPendingRequest *pending = g_new0(LrPendingRequest, 1);
    LrIdempotencyKey key;
    pending->daemon = daemon;
    pending->reply_to = LrStr_Dup(message->reply_to);
    pending->remote_id = message->id;
    if (!check_key(pending, message->key, &key)) {
        return;
    }
    GBytes *body = g_bytes_new(message->body.ptr, message->body.len);
    if (!is_coordinator(daemon, &key)) {
        forward_to_successor(pending, message, &key, body);
        g_bytes_unref(body);
        return;
    }
    claim(pending, message->entry, message->key, &key, body,
          message->deadline_ms * LR_MILLISECOND);
    g_bytes_unref(body);
}
