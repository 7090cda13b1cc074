/* The gateway of the routed interface: checks whether a target is up, after a
 * connection to it broke, and whether this daemon reaches targets at all. */
#include "gateway_private.h"

/* A target that is up answers a check as soon as it has a slot. */
#define CHECK_TIMEOUT (500 * LR_MILLISECOND)

typedef struct {
    LrGateway *gateway;
    LrStr key;
    LrStr address;
    LrStr instance;
    LrStr path;
    LrTime sent_at;
    LrTime deadline;
    /* Asks only whether the target can be reached. */
    bool for_reach;
    /* The first connection, which was in use before, had been closed; that
     * tells nothing. */
    bool repeated;
} Check;

static void
free_check(gpointer data)
{
    Check *check = data;
    g_free((char *)check->key.ptr);
    g_free((char *)check->address.ptr);
    g_free((char *)check->instance.ptr);
    g_free((char *)check->path.ptr);
    g_free(check);
}

GHashTable *
LrGateway_NewChecks(void)
{
    return g_hash_table_new_full(NULL, NULL, free_check, NULL);
}

static void
write_head(void *data, LrTime now, GString *out)
{
    (void)now;
    const Check *check = data;
    check->gateway->contract->write_check_head(check->path, check->address,
                                               out);
}

static bool
matches_any(void *data, const LrHttpMessage *response)
{
    (void)data;
    (void)response;
    return true;
}

/* A request that was sent before the target seemed to crash is in flight on an
 * open connection, so the target's process lives, and resets new connections
 * since it has no room. */
static bool
is_alive_and_full(const Check *check, LrUpstreamEnd end)
{
    const LrTarget *target = LrTargets_Lookup(
        LrEngine_Targets(check->gateway->daemon->engine), check->key);
    return target && end != LR_UPSTREAM_CONNECT_TIMEOUT &&
           LrTargets_HasOpenRequest(target, target->broken_at);
}

static LrCheckResult
check_result(const Check *check, LrUpstreamEnd end,
             const LrHttpMessage *response)
{
    if (end != LR_UPSTREAM_OK && is_alive_and_full(check, end)) {
        return LR_CHECK_UNKNOWN;
    }
    switch (end) {
    case LR_UPSTREAM_OK:
        return check->gateway->contract->is_from_instance(response,
                                                          check->instance)
                   ? LR_CHECK_UP
                   : LR_CHECK_DOWN;
    case LR_UPSTREAM_NOT_SENT:
    case LR_UPSTREAM_CONNECT_TIMEOUT:
    case LR_UPSTREAM_BROKEN:
        return LR_CHECK_DOWN;
    default:
        return LR_CHECK_UNKNOWN;
    }
}

static void
apply_statements(const Check *check, LrUpstreamEnd end,
                 const LrHttpMessage *response)
{
    const LrContract *contract = check->gateway->contract;
    LrTargets *targets = LrEngine_Targets(check->gateway->daemon->engine);
    LrTarget *target = LrTargets_LookupRemembered(targets, check->key);
    if (end != LR_UPSTREAM_OK || !target ||
        !contract->is_from_instance(response, check->instance)) {
        return;
    }
    LrReply reply = {0};
    contract->read_check_statements(response, &reply);
    LrTargets_ApplyStatements(targets, target, &reply, check->sent_at,
                              LrClock_Now());
}

static void send_check(Check *check);

static void
end_reach_check(Check *check, LrUpstreamEnd end)
{
    LrGateway *gateway = check->gateway;
    LrTime now = LrClock_Now();
    LrEngine_Advance(gateway->daemon->engine, now);
    /* A target that takes the request and is busy is reached. */
    bool reached = end == LR_UPSTREAM_OK || end == LR_UPSTREAM_MALFORMED ||
                   end == LR_UPSTREAM_TIMEOUT;
    const LrTarget *target = LrTargets_Lookup(
        LrEngine_Targets(gateway->daemon->engine), check->key);
    if (reached || !target || !LrGateway_MayBeOverloaded(target, end, now)) {
        LrTargetReach_OnCheck(gateway->reach, reached, now);
    }
    g_hash_table_remove(gateway->checks, check);
    LrGateway_UpdateReach(gateway, now);
    LrDaemon_RunActions(gateway->daemon);
}

static void
on_done(void *data, LrUpstreamEnd end, LrHttpMessage *response)
{
    Check *check = data;
    LrDaemon *daemon = check->gateway->daemon;
    apply_statements(check, end, response);
    if (check->for_reach) {
        end_reach_check(check, end);
        return;
    }
    if (end == LR_UPSTREAM_STALE && !check->repeated) {
        check->repeated = true;
        send_check(check);
        return;
    }
    LrTime now = LrClock_Now();
    LrEngine_Advance(daemon->engine, now);
    LrEngine_OnCheck(daemon->engine, now, check->key,
                     check_result(check, end, response));
    g_hash_table_remove(check->gateway->checks, check);
    LrDaemon_RunActions(daemon);
}

static void
send_check(Check *check)
{
    LrUpstreamSpec spec = {
        .key = check->key,
        .address = check->address,
        .write_head = write_head,
        .matches_request = matches_any,
        .done = on_done,
        .data = check,
        .deadline = check->deadline,
        .idle_timeout = LR_NEVER,
        .max_idle_for_reuse =
            check->repeated || check->for_reach ? 0 : LR_NEVER,
    };
    LrUpstream_Send(check->gateway->upstream, &spec);
}

/* The service in the configuration in force; NULL when that has none of the
 * name. */
static const LrPoolSpec *
find_pool(const LrGateway *gateway, LrStr service)
{
    LrView *view = LrEngine_View(gateway->daemon->engine);
    const LrRoutingSpec *spec =
        LrRoutes_Spec(LrRouting_Routes(view->catalogue));
    for (size_t i = 0; i < spec->n_pools; i++) {
        if (LrStr_Equal(spec->pools[i].name, service)) {
            return &spec->pools[i];
        }
    }
    return NULL;
}

/* Path of the health check of a service; empty when it has none. */
static LrStr
health_path(const LrGateway *gateway, LrStr service)
{
    const LrPoolSpec *pool = find_pool(gateway, service);
    return pool ? pool->health_path : LrStr_FromC("");
}

bool
LrGateway_IsInConfiguration(const LrGateway *gateway, const LrTarget *target)
{
    const LrGroup *group =
        target->groups->len > 0 ? target->groups->pdata[0] : NULL;
    return group && find_pool(gateway, group->name);
}

static Check *
new_check(LrGateway *gateway, const LrTarget *target, LrStr path)
{
    Check *check = g_new0(Check, 1);
    check->gateway = gateway;
    check->key = LrStr_Copy(target->key);
    check->address = LrStr_Copy(target->address);
    check->instance = LrStr_Copy(target->instance);
    check->path = LrStr_Copy(path);
    check->sent_at = LrClock_Now();
    check->deadline = check->sent_at + CHECK_TIMEOUT;
    g_hash_table_add(gateway->checks, check);
    return check;
}

void
LrGateway_Check(LrGateway *gateway, const LrAction *action)
{
    const LrTarget *target = action->target;
    LrStr path = health_path(gateway, action->shard);
    if (path.len == 0) {
        LrEngine_OnCheck(gateway->daemon->engine, LrClock_Now(), target->key,
                         LR_CHECK_UNKNOWN);
        return;
    }
    send_check(new_check(gateway, target, path));
}

void
LrGateway_CheckReach(LrGateway *gateway, const LrTarget *target)
{
    const LrGroup *group = target->groups->pdata[0];
    LrStr path = health_path(gateway, group->name);
    /* Any answer will do, also that there is no such path. */
    Check *check =
        new_check(gateway, target, path.len > 0 ? path : LrStr_FromC("/"));
    check->for_reach = true;
    LrCounters_Add(gateway->daemon->counters, LR_COUNT_REACH_CHECKS, 1);
    send_check(check);
}
