/* The loop of a stand-in program. */
#ifndef LAVENDERRAIL_STANDIN_LOOP_H
#define LAVENDERRAIL_STANDIN_LOOP_H

#include <ev.h>

/* Runs until a signal asks for the end, or the time is over. */
void StandinLoop_Run(struct ev_loop *loop, int seconds);

#endif
