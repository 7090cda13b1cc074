/* Structs that the parts of a daemon share. */
#ifndef LAVENDERRAIL_DAEMON_H
#define LAVENDERRAIL_DAEMON_H

#include "lavenderrail.h"

#include <ev.h>

/* One request of a caller, from its arrival to its answer. */
typedef struct {
    LrDaemon *daemon;
    LrExchange *exchange;
    uint64_t query;
    LrLedgerRow *row;
    void (*answered)(void *request, LrOutcome outcome, unsigned status,
                     GBytes *answer);
    void *data;
} LrPending;

struct LrDaemon {
    struct ev_loop *loop;
    LrSettings settings;
    LrLog *log;
    LrCounters *counters;
    LrEngine *engine;
    LrLedger *ledger;
    LrServer *callers;
    LrServer *operators;
    LrClient *client;
    LrWatch *watch;
    const LrWire *wire;
    GHashTable *sent;
    ev_timer timer;
    ev_timer tick;
    ev_timer stop_timer;
    int64_t incarnation;
    LrTime started_at;
    bool hosts_known;
    bool stopping;
    bool finished_waiting;
    size_t open_requests;
};

/* daemon.c */
/* Carries out the engine's actions and sets the timer for its next one. */
void LrDaemon_Settle(LrDaemon *daemon);
bool LrDaemon_IsReady(const LrDaemon *daemon);

/* api.c */
void LrApi_Request(void *daemon, LrExchange *exchange);
void LrApi_Gone(void *daemon, LrExchange *exchange);
/* Gives the engine's answer to whoever waits for it. */
void LrApi_Answered(LrPending *pending, const LrAnswer *answer);
void LrApi_Refuse(LrExchange *exchange, LrOutcome outcome, LrReason reason,
                  const char *hint);

/* keyed.c */
/* Handles a request of a non-idempotent entry. */
void LrKeyed_Request(LrDaemon *daemon, LrExchange *exchange, LrStr entry);
void LrKeyed_Gone(LrDaemon *daemon, LrExchange *exchange);
char *LrKeyed_Issue(LrDaemon *daemon);
void LrKeyed_Answered(LrPending *pending, const LrAnswer *answer);

/* operator.c */
void LrOperator_Request(void *daemon, LrExchange *exchange);
void LrOperator_Gone(void *daemon, LrExchange *exchange);

#endif
