/* Clocks. Only edges and programs read them. */
#include "lavenderrail.h"

LrTime
LrLoop_Now(void)
{
    return g_get_monotonic_time() * LR_MICROSECOND;
}

int64_t
LrLoop_WallMs(void)
{
    return g_get_real_time() / 1000;
}
