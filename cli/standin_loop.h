/* Event loop of a stand-in program. */
#ifndef LAVENDERRAIL_STANDIN_LOOP_H
#define LAVENDERRAIL_STANDIN_LOOP_H

#include <ev.h>

/* Runs the loop until SIGTERM, SIGINT or the time limit. */
void StandinLoop_Run(struct ev_loop *loop, int seconds);

#endif
