/* Requests of non-idempotent entries: at most one run for a key.
 *
 * Only the incarnation that issued a key runs its request; its ledger holds
 * what became of it until the key expires. Nobody else can tell whether an
 * earlier copy ran, so elsewhere the outcome is unknown. */
#include "daemon.h"

#include <string.h>

/* The ledger remembers a key for this long after its expiry. */
#define EXPIRY_GRACE (60 * LR_SECOND)
#define JSON_TYPE "application/json"

char *
LrKeyed_Issue(LrDaemon *daemon)
{
    LrRandom *random = LrEngine_Random(daemon->engine);
    LrKey key = {
        .host = daemon->settings.name,
        .incarnation = daemon->incarnation,
        .expires_ms = LrLoop_WallMs() + daemon->settings.key_ttl_ms,
        .nonce = (uint64_t)LrRandom_Below(random, UINT32_MAX) << 32 |
                 LrRandom_Below(random, UINT32_MAX),
    };
    LrCounters_Add(daemon->counters, LR_COUNT_KEYS_ISSUED, 1);
    return LrKey_Format(&key);
}

static void
reply_row(LrExchange *exchange, const LrLedgerRow *row)
{
    LrExchange_Reply(exchange, (unsigned)row->status, JSON_TYPE,
                     g_bytes_ref(row->answer));
}

/* Answers every caller that waits for the row. */
static void
tell_waiters(LrLedgerRow *row)
{
    for (guint i = 0; i < row->waiters->len; i++) {
        LrPending *waiter = row->waiters->pdata[i];
        if (waiter->exchange) {
            LrExchange_SetData(waiter->exchange, NULL);
            reply_row(waiter->exchange, row);
        }
        g_free(waiter);
    }
    g_ptr_array_set_size(row->waiters, 0);
}

void
LrKeyed_Answered(LrPending *pending, const LrAnswer *answer)
{
    LrDaemon *daemon = pending->daemon;
    GBytes *text = LrAnswer_ToJson(answer);
    LrLedger_Finish(daemon->ledger, pending->row, answer->outcome,
                    (int)LrAnswer_Status(answer), text);
    g_bytes_unref(text);
    tell_waiters(pending->row);
    g_free(pending);
}

static void
add_waiter(LrDaemon *daemon, LrExchange *exchange, LrLedgerRow *row)
{
    LrPending *waiter = g_new0(LrPending, 1);
    waiter->daemon = daemon;
    waiter->exchange = exchange;
    waiter->row = row;
    LrExchange_SetData(exchange, waiter);
    g_ptr_array_add(row->waiters, waiter);
}

void
LrKeyed_Gone(LrDaemon *daemon, LrExchange *exchange)
{
    (void)daemon;
    LrPending *waiter = LrExchange_Data(exchange);
    waiter->exchange = NULL;
}

/* Runs the request; its answer goes to the row, not to this caller. */
static void
run(LrDaemon *daemon, LrStr entry, LrStr key, GBytes *body, LrLedgerRow *row)
{
    LrPending *pending = g_new0(LrPending, 1);
    pending->daemon = daemon;
    pending->row = row;
    LrRequest request = {
        .entry = entry,
        .body = body,
        .call = true,
        .routing_key = key,
        .key = key,
        .data = pending,
    };
    pending->query = LrEngine_Submit(daemon->engine, LrLoop_Now(), &request);
}

static void
claim(LrDaemon *daemon, LrExchange *exchange, LrStr entry, LrStr text,
      const LrKey *key)
{
    LrTime left = (key->expires_ms - LrLoop_WallMs()) * LR_MILLISECOND;
    LrTime now = LrLoop_Now();
    GBytes *body = LrExchange_Body(exchange);
    uint64_t fingerprint =
        LrQuarantine_Fingerprint(entry, LrStr_FromBytes(body));
    LrLedgerRow *row;
    switch (LrLedger_Claim(daemon->ledger, text, fingerprint, now,
                           now + left + EXPIRY_GRACE, &row)) {
    case LR_CLAIM_RUN:
        add_waiter(daemon, exchange, row);
        run(daemon, entry, text, body, row);
        LrDaemon_Settle(daemon);
        break;
    case LR_CLAIM_WAIT:
        add_waiter(daemon, exchange, row);
        break;
    case LR_CLAIM_REPLAY:
        LrCounters_Add(daemon->counters, LR_COUNT_KEYS_REPLAYED, 1);
        reply_row(exchange, row);
        break;
    case LR_CLAIM_CONFLICT:
        LrApi_Refuse(exchange, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_CONFLICT,
                     "the key was used with another request");
        break;
    case LR_CLAIM_FULL:
        LrApi_Refuse(exchange, LR_OUTCOME_NOT_RUN, LR_REASON_LEDGER_FULL,
                     "try again later");
        break;
    }
}

void
LrKeyed_Request(LrDaemon *daemon, LrExchange *exchange, LrStr entry)
{
    LrStr text = LrExchange_Header(exchange, "Idempotency-Key");
    LrKey key;
    if (text.len == 0) {
        LrApi_Refuse(exchange, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_REQUIRED,
                     "take a key from POST /v1/keys and send it as "
                     "Idempotency-Key");
        return;
    }
    if (!LrKey_Parse(text, &key)) {
        LrApi_Refuse(exchange, LR_OUTCOME_NOT_RUN, LR_REASON_KEY_INVALID,
                     "take a key from POST /v1/keys");
        return;
    }
    bool own = LrStr_Equal(key.host, daemon->settings.name) &&
               key.incarnation == daemon->incarnation;
    if (!own) {
        LrApi_Refuse(exchange, LR_OUTCOME_UNKNOWN, LR_REASON_COORDINATOR_LOST,
                     "the host that issued the key cannot be reached");
        return;
    }
    if (key.expires_ms <= LrLoop_WallMs()) {
        LrApi_Refuse(exchange, LR_OUTCOME_UNKNOWN, LR_REASON_KEY_EXPIRED,
                     "the key has expired");
        return;
    }
    claim(daemon, exchange, entry, text, &key);
}
