/* Timers on a libev loop. */
#ifndef LAVENDERRAIL_LOOP_TIMERS_H
#define LAVENDERRAIL_LOOP_TIMERS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrLoopTimers LrLoopTimers;

LrLoopTimers *LrLoopTimers_New(struct ev_loop *loop);
void LrLoopTimers_Free(LrLoopTimers *timers);
/* Arms a timer, or moves one that is armed. Its owner embeds the timer. */
void LrLoopTimers_Set(LrLoopTimers *timers, LrTimer *timer, LrTime due);
void LrLoopTimers_Clear(LrLoopTimers *timers, LrTimer *timer);

#ifdef __cplusplus
}
#endif

#endif
