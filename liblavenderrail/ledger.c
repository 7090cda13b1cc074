/* The idempotency keys of one coordinator and the results of their requests.
 * A key is kept until it expires, and never evicted sooner: a full ledger
 * rejects new keys. */
#include "lavenderrail.h"

struct LrLedger {
    GHashTable *rows;
    size_t slots;
    LrTime last_sweep_at;
};

#define EXPIRY_SWEEP_INTERVAL LR_SECOND

static void
free_row(gpointer data)
{
    LrLedgerRow *row = data;
    g_free((char *)row->key.ptr);
    if (row->answer) {
        g_bytes_unref(row->answer);
    }
    g_ptr_array_unref(row->waiters);
    g_free(row);
}

LrLedger *
LrLedger_New(size_t slots)
{
    LrLedger *ledger = g_new0(LrLedger, 1);
    ledger->slots = slots;
    ledger->rows = g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual,
                                         NULL, free_row);
    return ledger;
}

void
LrLedger_Free(LrLedger *ledger)
{
    if (!ledger) {
        return;
    }
    g_hash_table_unref(ledger->rows);
    g_free(ledger);
}

static gboolean
row_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const LrLedgerRow *row = value;
    return row->finished && row->expires_at <= *(LrTime *)data;
}

static void
sweep(LrLedger *ledger, LrTime now)
{
    if (now - ledger->last_sweep_at < EXPIRY_SWEEP_INTERVAL &&
        ledger->last_sweep_at > 0) {
        return;
    }
    ledger->last_sweep_at = now;
    g_hash_table_foreach_remove(ledger->rows, row_expired, &now);
}

static LrClaim
claim_existing(LrLedgerRow *row, uint64_t fingerprint)
{
    if (row->fingerprint != fingerprint) {
        return LR_CLAIM_CONFLICT;
    }
    if (!row->finished) {
        return LR_CLAIM_WAIT;
    }
    if (row->not_run) {
        row->finished = false;
        row->not_run = false;
        g_clear_pointer(&row->answer, g_bytes_unref);
        return LR_CLAIM_RUN;
    }
    return LR_CLAIM_REPLAY;
}

LrClaim
LrLedger_Claim(LrLedger *ledger, LrStr key, uint64_t fingerprint, LrTime now,
               LrTime expires_at, LrLedgerRow **row)
{
    sweep(ledger, now);
    LrLedgerRow *found = g_hash_table_lookup(ledger->rows, &key);
    if (found) {
        *row = found;
        return claim_existing(found, fingerprint);
    }
    if (g_hash_table_size(ledger->rows) >= ledger->slots) {
        *row = NULL;
        return LR_CLAIM_FULL;
    }
    found = g_new0(LrLedgerRow, 1);
    found->key = (LrStr){.ptr = LrStr_Dup(key), .len = key.len};
    found->fingerprint = fingerprint;
    found->expires_at = expires_at;
    found->waiters = g_ptr_array_new();
    g_hash_table_insert(ledger->rows, &found->key, found);
    *row = found;
    return LR_CLAIM_RUN;
}

void
LrLedger_Finish(LrLedger *ledger, LrLedgerRow *row, LrOutcome outcome,
                int status, GBytes *answer)
{
    (void)ledger;
    row->finished = true;
    row->not_run = outcome == LR_OUTCOME_NOT_RUN;
    row->outcome = outcome;
    row->status = status;
    row->answer = answer ? g_bytes_ref(answer) : NULL;
}

size_t
LrLedger_Count(const LrLedger *ledger)
{
    return g_hash_table_size(ledger->rows);
}

void
LrLedger_Each(const LrLedger *ledger,
              void (*func)(void *data, const LrLedgerRow *row), void *data)
{
    GHashTableIter iter;
    gpointer row;
    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        func(data, row);
    }
}

static void
note_running(void *data, const LrLedgerRow *row)
{
    bool *running = data;
    *running |= !row->finished;
}

bool
LrLedger_HasRunning(const LrLedger *ledger)
{
    bool running = false;
    LrLedger_Each(ledger, note_running, &running);
    return running;
}
