/* Queries that another daemon of the zone gathers, and those that this one
 * gathers for others. */
#ifndef LAVENDERRAIL_FORWARD_H
#define LAVENDERRAIL_FORWARD_H

#include "daemon.h"
#include "gateway.h"

typedef struct LrForward LrForward;

LrForward *LrForward_New(LrGateway *gateway);
void LrForward_Free(LrForward *forward);
/* Hands a caller's request to an aggregator; false when this daemon is to
 * gather it. */
bool LrForward_SendRequest(LrForward *forward, LrRoutedRequest *routed);
/* The caller went away; false when the request was not handed over. */
bool LrForward_Cancel(LrForward *forward, LrRoutedRequest *routed);
/* Sends the answer of a request that came from another daemon. */
void LrForward_SendAnswer(LrForward *forward, LrRoutedRequest *routed,
                          const GString *head, GBytes *body);
void LrForward_OnRequest(LrForward *forward, const LrForwardMsg *message);
void LrForward_OnAnswer(LrForward *forward, const LrForwardAnswerMsg *message);
void LrForward_OnOrder(LrForward *forward, const LrForwardCommandMsg *message);
void LrForward_OnDisconnect(LrForward *forward, LrStr address);

#endif
