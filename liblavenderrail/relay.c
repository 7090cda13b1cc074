/* Relays sub-requests through other daemons: sends those for shards that this
 * daemon has no connections to, and serves those that peers send. What an
 * event produces for one daemon is batched. */
#include "daemon.h"

#include <string.h>

/* Subtracted from the deadline for the network time to the peer and back. */
#define NETWORK_MARGIN (2 * LR_MILLISECOND)

/* A sub-request that was sent to a peer and is not answered yet. */
typedef struct {
    uint64_t attempt;
    char *address;
} SentPart;

/* Rows for one peer, to be sent with the next flush. */
typedef struct {
    char *address;
    LrRelayMsg request;
    GBytes *body;
    GArray *parts;
    GArray *cancels;
    GPtrArray *answers;
    LrArena *arena;
} Batch;

struct LrRelay {
    LrDaemon *daemon;
    GHashTable *sent_parts;
    GHashTable *served_parts;
    GPtrArray *batches;
};

static void
free_sent_part(gpointer data)
{
    SentPart *sent_part = data;
    g_free(sent_part->address);
    g_free(sent_part);
}

static void
free_batch(gpointer data)
{
    Batch *batch = data;
    g_free(batch->address);
    if (batch->body) {
        g_bytes_unref(batch->body);
    }
    g_array_unref(batch->parts);
    g_array_unref(batch->cancels);
    g_ptr_array_unref(batch->answers);
    LrArena_Free(batch->arena);
    g_free(batch);
}

LrRelay *
LrRelay_New(LrDaemon *daemon)
{
    LrRelay *relay = g_new0(LrRelay, 1);
    relay->daemon = daemon;
    relay->sent_parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, free_sent_part);
    relay->served_parts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    relay->batches = g_ptr_array_new_with_free_func(free_batch);
    return relay;
}

void
LrRelay_Free(LrRelay *relay)
{
    if (!relay) {
        return;
    }
    g_hash_table_unref(relay->sent_parts);
    g_hash_table_unref(relay->served_parts);
    g_ptr_array_unref(relay->batches);
    g_free(relay);
}

/* Finds or adds the batch for an address. A batch of sub-requests belongs to
 * one query, identified by its body; a NULL body selects the batch of answers
 * and cancellations. */
static Batch *
find_batch(LrRelay *relay, LrStr address, GBytes *body)
{
    for (guint i = 0; i < relay->batches->len; i++) {
        Batch *batch = relay->batches->pdata[i];
        if (LrStr_EqualC(address, batch->address) && batch->body == body) {
            return batch;
        }
    }
    Batch *batch = g_new0(Batch, 1);
    batch->address = LrStr_Dup(address);
    batch->body = body ? g_bytes_ref(body) : NULL;
    batch->parts = g_array_new(FALSE, FALSE, sizeof(LrRelayPartMsg));
    batch->cancels = g_array_new(FALSE, FALSE, sizeof(LrRelayPartMsg));
    batch->answers = g_ptr_array_new();
    batch->arena = LrArena_New();
    g_ptr_array_add(relay->batches, batch);
    return batch;
}

/* Address of the daemon that a relayed target stands for; the first character
 * marks such targets. */
static LrStr
peer_address(LrStr address)
{
    return (LrStr){.ptr = address.ptr + 1, .len = address.len - 1};
}

void
LrRelay_Send(LrRelay *relay, const LrAction *action)
{
    LrDaemon *daemon = relay->daemon;
    LrStr address = peer_address(action->target->address);
    Batch *batch = find_batch(relay, address, action->body);
    LrTime left = action->deadline - LrClock_Now() - NETWORK_MARGIN;
    batch->request = (LrRelayMsg){
        .entry = LrArena_Copy(batch->arena, action->entry),
        .key = LrArena_Copy(batch->arena, action->key),
        .version = action->version,
        .deadline_ms = MAX(1, left / LR_MILLISECOND),
    };
    LrRelayPartMsg part = {
        .attempt = (int64_t)action->attempt,
        .shard = LrArena_Copy(batch->arena, action->shard),
    };
    g_array_append_val(batch->parts, part);
    SentPart *sent_part = g_new0(SentPart, 1);
    sent_part->attempt = action->attempt;
    sent_part->address = LrStr_Dup(address);
    g_hash_table_replace(relay->sent_parts, &sent_part->attempt, sent_part);
    LrCounters_Add(daemon->counters, LR_COUNT_RELAYED, 1);
}

bool
LrRelay_Cancel(LrRelay *relay, uint64_t attempt)
{
    SentPart *sent_part = g_hash_table_lookup(relay->sent_parts, &attempt);
    if (!sent_part) {
        return false;
    }
    Batch *batch = find_batch(relay, LrStr_FromC(sent_part->address), NULL);
    LrRelayPartMsg part = {.attempt = (int64_t)attempt};
    g_array_append_val(batch->cancels, part);
    g_hash_table_remove(relay->sent_parts, &attempt);
    return true;
}

static void
fail_sent_parts(LrRelay *relay, const GArray *parts)
{
    LrReply reply = {.status = LR_REPLY_CONNECT_FAILED};
    for (guint i = 0; i < parts->len; i++) {
        const LrRelayPartMsg *part = &g_array_index(parts, LrRelayPartMsg, i);
        uint64_t attempt = (uint64_t)part->attempt;
        g_hash_table_remove(relay->sent_parts, &attempt);
        LrEngine_OnReply(relay->daemon->engine, LrClock_Now(), attempt,
                         &reply);
    }
}

static void
send_parts(LrRelay *relay, Batch *batch)
{
    LrDaemon *daemon = relay->daemon;
    batch->request.body = LrStr_FromBytes(batch->body);
    batch->request.reply_to = daemon->settings.peer_address;
    batch->request.parts = (LrRelayPartMsg *)(void *)batch->parts->data;
    batch->request.n_parts = batch->parts->len;
    if (!LrPeers_Send(daemon->peers, LrStr_FromC(batch->address),
                      &LrRelayMsg_Descriptor, &batch->request)) {
        fail_sent_parts(relay, batch->parts);
    }
}

static void
send_cancels(LrRelay *relay, const Batch *batch)
{
    LrRelayCancelMsg message = {
        .reply_to = relay->daemon->settings.peer_address,
        .parts = (LrRelayPartMsg *)(void *)batch->cancels->data,
        .n_parts = batch->cancels->len,
    };
    LrPeers_Send(relay->daemon->peers, LrStr_FromC(batch->address),
                 &LrRelayCancelMsg_Descriptor, &message);
}

static void
send_answers(LrRelay *relay, const Batch *batch)
{
    LrRelayPartAnswerMsg *rows = LrArena_Alloc(
        batch->arena, batch->answers->len * sizeof(LrRelayPartAnswerMsg));
    for (guint i = 0; i < batch->answers->len; i++) {
        rows[i] = *(LrRelayPartAnswerMsg *)batch->answers->pdata[i];
    }
    LrRelayAnswerMsg message = {.parts = rows, .n_parts = batch->answers->len};
    LrPeers_Send(relay->daemon->peers, LrStr_FromC(batch->address),
                 &LrRelayAnswerMsg_Descriptor, &message);
}

bool
LrRelay_Flush(LrRelay *relay)
{
    if (relay->batches->len == 0) {
        return false;
    }
    GPtrArray *batches = relay->batches;
    relay->batches = g_ptr_array_new_with_free_func(free_batch);
    for (guint i = 0; i < batches->len; i++) {
        Batch *batch = batches->pdata[i];
        if (batch->parts->len > 0) {
            send_parts(relay, batch);
        }
        if (batch->cancels->len > 0) {
            send_cancels(relay, batch);
        }
        if (batch->answers->len > 0) {
            send_answers(relay, batch);
        }
    }
    g_ptr_array_unref(batches);
    return true;
}

static char *
served_part_key(LrStr reply_to, int64_t attempt)
{
    return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, (int)reply_to.len,
                           reply_to.ptr, attempt);
}

static void
serve_part(LrRelay *relay, const LrRelayMsg *message,
           const LrRelayPartMsg *part, GBytes *body)
{
    LrDaemon *daemon = relay->daemon;
    LrPendingRequest *pending = g_new0(LrPendingRequest, 1);
    pending->daemon = daemon;
    pending->relayed = true;
    pending->reply_to = LrStr_Dup(message->reply_to);
    pending->remote_id = part->attempt;
    char *name = served_part_key(message->reply_to, part->attempt);
    g_hash_table_replace(relay->served_parts, name, pending);
    LrRequest request = {
        .entry = message->entry,
        .body = body,
        .single_shard = true,
        .shard = part->shard,
        .version = message->version,
        .key = message->key,
        .timeout = message->deadline_ms * LR_MILLISECOND,
        .data = pending,
    };
    LrCounters_Add(daemon->counters, LR_COUNT_RELAY_SERVED, 1);
    pending->query = LrEngine_Submit(daemon->engine, LrClock_Now(), &request);
}

void
LrRelay_OnRequest(LrRelay *relay, const LrRelayMsg *message)
{
    GBytes *body = g_bytes_new(message->body.ptr, message->body.len);
    for (size_t i = 0; i < message->n_parts; i++) {
        serve_part(relay, message, &message->parts[i], body);
    }
    g_bytes_unref(body);
}

void
LrRelay_OnCancel(LrRelay *relay, const LrRelayCancelMsg *message)
{
    for (size_t i = 0; i < message->n_parts; i++) {
        g_autofree char *name =
            served_part_key(message->reply_to, message->parts[i].attempt);
        LrPendingRequest *pending =
            g_hash_table_lookup(relay->served_parts, name);
        if (!pending) {
            continue;
        }
        LrEngine_Cancel(relay->daemon->engine, LrClock_Now(), pending->query);
        g_hash_table_remove(relay->served_parts, name);
        g_free(pending->reply_to);
        g_free(pending);
    }
}

/* Reply status for the requesting daemon. An outcome not_run is proven here,
 * so the requester may retry elsewhere. */
static LrReplyStatus
reply_status(const LrAnswer *answer)
{
    if (answer->outcome == LR_OUTCOME_COMPLETE) {
        return LR_REPLY_OK;
    }
    if (answer->reason == LR_REASON_VERSION_GONE) {
        return LR_REPLY_VERSION_GONE;
    }
    return answer->outcome == LR_OUTCOME_NOT_RUN ? LR_REPLY_SHED
                                                 : LR_REPLY_FAILED;
}

void
LrRelay_Answered(LrRelay *relay, LrPendingRequest *pending,
                 const LrAnswer *answer)
{
    LrStr address = LrStr_FromC(pending->reply_to);
    Batch *batch = find_batch(relay, address, NULL);
    LrRelayPartAnswerMsg *row =
        LrArena_Alloc(batch->arena, sizeof(LrRelayPartAnswerMsg));
    row->attempt = pending->remote_id;
    row->status = reply_status(answer);
    /* A daemon of an earlier version rejects a message with a reason that it
     * doesn't know. */
    row->reason = answer->reason == LR_REASON_TARGET_LIMIT ? LR_REASON_OVERLOAD
                                                           : answer->reason;
    row->version = answer->version;
    if (answer->outcome == LR_OUTCOME_COMPLETE) {
        row->target = LrArena_Copy(batch->arena, answer->parts[0].target);
        row->body =
            LrArena_Copy(batch->arena, LrStr_FromBytes(answer->parts[0].body));
    }
    g_ptr_array_add(batch->answers, row);
    g_autofree char *name = served_part_key(address, pending->remote_id);
    g_hash_table_remove(relay->served_parts, name);
    g_free(pending->reply_to);
    g_free(pending);
}

void
LrRelay_OnAnswer(LrRelay *relay, const LrRelayAnswerMsg *message)
{
    for (size_t i = 0; i < message->n_parts; i++) {
        const LrRelayPartAnswerMsg *part = &message->parts[i];
        uint64_t attempt = (uint64_t)part->attempt;
        GBytes *body = g_bytes_new(part->body.ptr, part->body.len);
        LrReply reply = {
            .status = part->status,
            .reason = part->reason,
            .version = part->version,
            .body = body,
        };
        g_hash_table_remove(relay->sent_parts, &attempt);
        LrEngine_OnReply(relay->daemon->engine, LrClock_Now(), attempt,
                         &reply);
        g_bytes_unref(body);
    }
}

void
LrRelay_OnDisconnect(LrRelay *relay, LrStr address)
{
    GList *rows = g_hash_table_get_values(relay->sent_parts);
    LrReply reply = {.status = LR_REPLY_TIMEOUT};
    for (GList *at = rows; at; at = at->next) {
        SentPart *sent_part = at->data;
        if (!LrStr_EqualC(address, sent_part->address)) {
            continue;
        }
        uint64_t attempt = sent_part->attempt;
        g_hash_table_remove(relay->sent_parts, &attempt);
        LrEngine_OnReply(relay->daemon->engine, LrClock_Now(), attempt,
                         &reply);
    }
    g_list_free(rows);
}
