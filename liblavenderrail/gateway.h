/* The gateway of the routed interface: a request is proxied to one target of
 * its route, or scattered to every shard of the route. */
#ifndef LAVENDERRAIL_GATEWAY_H
#define LAVENDERRAIL_GATEWAY_H

#include "contract.h"
#include "daemon.h"

typedef struct LrGateway LrGateway;
typedef struct LrRoutedRequest LrRoutedRequest;

LrGateway *LrGateway_New(LrDaemon *daemon, const LrContract *contract,
                         GError **error);
void LrGateway_Free(LrGateway *gateway);
/* Applies the limits of a catalogue that became active. */
void LrGateway_SetCatalogue(LrGateway *gateway, const LrCatalogue *catalogue);
/* Sends an attempt of a routed request to its target. */
void LrGateway_Send(LrGateway *gateway, const LrAction *action);
/* Checks whether the target of the action is up, and tells the engine. */
void LrGateway_Check(LrGateway *gateway, const LrAction *action);
/* Looks for signs that this daemon has lost its links to the targets; to be
 * called ten times a second. */
void LrGateway_EvaluateReach(LrGateway *gateway, LrTime now);
/* Cancels an attempt; false when the gateway has no attempt of that id. */
bool LrGateway_Cancel(LrGateway *gateway, uint64_t attempt);
void LrGateway_Answered(LrRoutedRequest *routed, const LrAnswer *answer);
/* While draining, answers close their connections, so that callers reconnect
 * through the balancer. */
void LrGateway_SetDraining(LrGateway *gateway, bool draining);
/* Stops listening and closes idle connections; to be called when the balancer
 * has had time to notice the drain. */
void LrGateway_Quiesce(LrGateway *gateway);
/* Whether no caller's request is being read, run or answered. */
bool LrGateway_IsIdle(const LrGateway *gateway);
/* Queries forwarded to other daemons and accepted from them. */
struct LrForward *LrGateway_Forward(LrGateway *gateway);
struct json_t *LrGateway_Dump(const LrGateway *gateway);

#endif
