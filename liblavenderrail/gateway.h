/* The routed interface: requests that are passed through to the targets of a
 * route, or to every shard of it. */
#ifndef LAVENDERRAIL_GATEWAY_H
#define LAVENDERRAIL_GATEWAY_H

#include "contract.h"
#include "daemon.h"

typedef struct LrGateway LrGateway;
typedef struct LrRoutedRequest LrRoutedRequest;

LrGateway *LrGateway_New(LrDaemon *daemon, const LrContract *contract,
                         GError **error);
void LrGateway_Free(LrGateway *gateway);
/* A catalogue came into force. */
void LrGateway_SetCatalogue(LrGateway *gateway, const LrCatalogue *catalogue);
/* Carries out an attempt of a routed request. */
void LrGateway_Send(LrGateway *gateway, const LrAction *action);
/* Withdraws one; false when it is not under way here. */
bool LrGateway_Cancel(LrGateway *gateway, uint64_t attempt);
void LrGateway_Answered(LrRoutedRequest *routed, const LrAnswer *answer);
/* While draining, answers close their connections, so that callers come back
 * by way of the balancer. */
void LrGateway_SetDraining(LrGateway *gateway, bool draining);
/* The balancer has noticed: idle connections are closed. */
void LrGateway_Quiesce(LrGateway *gateway);
/* Whether nothing is being worked on or answered. */
bool LrGateway_IsIdle(const LrGateway *gateway);
/* Queries handed to other daemons and taken over from them. */
struct LrForward *LrGateway_Forward(LrGateway *gateway);
struct json_t *LrGateway_Dump(const LrGateway *gateway);

#endif
