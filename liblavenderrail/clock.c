/* Clocks. Only I/O modules and programs read them; the engine is given the
 * time. */
#include "lavenderrail.h"

LrTime
LrClock_Now(void)
{
    return g_get_monotonic_time() * LR_MICROSECOND;
}

int64_t
LrClock_WallMs(void)
{
    return g_get_real_time() / 1000;
}
