/* Forwarding of requests to other daemons, and running of requests that other
 * daemons forwarded to this one. */
#ifndef LAVENDERRAIL_FORWARD_H
#define LAVENDERRAIL_FORWARD_H

#include "daemon.h"
#include "gateway.h"

typedef struct LrForward LrForward;

LrForward *LrForward_New(LrGateway *gateway);
void LrForward_Free(LrForward *forward);
/* Forwards a caller's request to an aggregator, or to any daemon while this
 * one reaches no target; false when this daemon has to run it. */
bool LrForward_SendRequest(LrForward *forward, LrRoutedRequest *routed);
/* Cancels a request whose caller disconnected; false when it is not
 * forwarded. */
bool LrForward_Cancel(LrForward *forward, LrRoutedRequest *routed);
/* Forwards a request that this daemon could not run while it may reach no
 * target, or gives it back to the daemon that it came from; false when it has
 * to be answered here. */
bool LrForward_HandOver(LrForward *forward, LrRoutedRequest *routed);
/* Sends the answer to a request that another daemon forwarded. */
void LrForward_SendAnswer(LrForward *forward, LrRoutedRequest *routed,
                          const GString *head, GBytes *body);
/* Answers all callers whose requests other daemons have: this daemon stops
 * now. */
void LrForward_EndAll(LrForward *forward);
void LrForward_OnRequest(LrForward *forward, const LrForwardMsg *message);
void LrForward_OnAnswer(LrForward *forward, const LrForwardAnswerMsg *message);
void LrForward_OnCommand(LrForward *forward,
                         const LrForwardCommandMsg *message);
void LrForward_OnDisconnect(LrForward *forward, LrStr address);

#endif
