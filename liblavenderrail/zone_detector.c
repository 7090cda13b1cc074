/* A zone counts as unreachable when several of its targets keep requests
 * waiting, or reject connections, and nothing at all has been received from it
 * for a while. Anything
 * received from it makes it reachable again. Failures of single targets are
 * left to outlier ejection. */
#include "zone_detector.h"

/* Nothing was received for this long: longer than targets stall (200 ms), and
 * than two probe intervals of daemons (300 ms each). */
#define SILENCE_TIMEOUT (700 * LR_MILLISECOND)
/* A target is overdue when a request waits for longer than this, which is
 * longer than targets stall, or when it has been failing for longer. */
#define OVERDUE_WAIT (250 * LR_MILLISECOND)
/* Overdue targets that it takes, so that one dead target does not make its
 * zone unreachable; all targets of a zone that has fewer. */
enum { MIN_OVERDUE_TARGETS = 2 };
/* A zone without targets is removed when nothing was received from it for this
 * long. */
#define ZONE_TTL (60 * LR_SECOND)
/* An unreachable zone is tried again when no overdue requests have confirmed
 * its state for this long: its targets get hardly any requests, and if no
 * daemon runs in the zone, nothing else would ever end the state. */
#define RETRY_DELAY (5 * LR_SECOND)

/* Evaluations are 100 ms apart. After a longer gap this process was paused or
 * slow, and what arrived in the meantime is still to be read. */
#define MAX_ROUND_GAP (500 * LR_MILLISECOND)

struct LrZoneDetector {
    LrStr local_zone;
    LrTime evaluated_at;
    /* Last time that another daemon reported this daemon's zone as
     * isolated. */
    LrTime isolation_reported_at;
    LrLog *log;
    GPtrArray *zones;
};

static void
free_zone(gpointer data)
{
    LrZone *zone = data;
    g_free((char *)zone->name.ptr);
    g_free(zone);
}

LrZoneDetector *
LrZoneDetector_New(LrStr local_zone, LrLog *log)
{
    LrZoneDetector *detector = g_new0(LrZoneDetector, 1);
    detector->local_zone =
        (LrStr){.ptr = LrStr_Dup(local_zone), .len = local_zone.len};
    detector->log = log;
    detector->zones = g_ptr_array_new_with_free_func(free_zone);
    return detector;
}

void
LrZoneDetector_Free(LrZoneDetector *detector)
{
    if (!detector) {
        return;
    }
    g_ptr_array_unref(detector->zones);
    g_free((char *)detector->local_zone.ptr);
    g_free(detector);
}

LrZone *
LrZoneDetector_GetZone(LrZoneDetector *detector, LrStr name, LrTime now)
{
    for (guint i = 0; i < detector->zones->len; i++) {
        LrZone *zone = detector->zones->pdata[i];
        if (LrStr_Equal(zone->name, name)) {
            return zone;
        }
    }
    LrZone *zone = g_new0(LrZone, 1);
    zone->name = (LrStr){.ptr = LrStr_Dup(name), .len = name.len};
    zone->local = LrStr_Equal(name, detector->local_zone);
    zone->last_contact_at = now;
    g_ptr_array_add(detector->zones, zone);
    return zone;
}

void
LrZone_OnContact(LrZone *zone, LrTime now)
{
    zone->last_contact_at = now;
}

void
LrZoneDetector_BeginRound(LrZoneDetector *detector)
{
    for (guint i = 0; i < detector->zones->len; i++) {
        ((LrZone *)detector->zones->pdata[i])->n_overdue = 0;
    }
}

void
LrZone_OnWaiting(LrZone *zone, LrTime since, LrTime now)
{
    zone->n_overdue += now - since > OVERDUE_WAIT;
}

static void
set_unreachable(LrZoneDetector *detector, LrZone *zone, bool unreachable,
                LrTime now)
{
    zone->unreachable = unreachable;
    LR_LOG(
        detector->log, LOG_WARNING,
        unreachable ? "zone_lost" : "zone_regained",
        LrLog_Str("zone", zone->name),
        LrLog_Int("heard_ms", (now - zone->last_contact_at) / LR_MILLISECOND),
        LrLog_Int("silent_targets", zone->n_overdue));
}

static void
evaluate_zone(LrZoneDetector *detector, LrZone *zone, LrTime now)
{
    bool silent = now - zone->last_contact_at > SILENCE_TIMEOUT;
    if (silent && zone->n_overdue > 0 &&
        zone->n_overdue >= MIN(MIN_OVERDUE_TARGETS, zone->n_targets)) {
        zone->confirmed_at = now;
        if (!zone->unreachable) {
            set_unreachable(detector, zone, true, now);
        }
        return;
    }
    if (zone->unreachable &&
        (!silent || now - zone->confirmed_at > RETRY_DELAY)) {
        set_unreachable(detector, zone, false, now);
    }
}

void
LrZoneDetector_OnLateWakeup(LrZoneDetector *detector, LrTime now)
{
    for (guint i = 0; i < detector->zones->len; i++) {
        LrZone_OnContact(detector->zones->pdata[i], now);
    }
}

static bool
is_expired(const LrZone *zone, LrTime now)
{
    return !zone->local && zone->n_targets == 0 &&
           now - zone->last_contact_at > ZONE_TTL;
}

void
LrZoneDetector_Evaluate(LrZoneDetector *detector, LrTime now)
{
    if (detector->evaluated_at > 0 &&
        now - detector->evaluated_at > MAX_ROUND_GAP) {
        LrZoneDetector_OnLateWakeup(detector, now);
    }
    detector->evaluated_at = now;
    for (guint i = detector->zones->len; i-- > 0;) {
        LrZone *zone = detector->zones->pdata[i];
        if (is_expired(zone, now)) {
            g_ptr_array_remove_index_fast(detector->zones, i);
        }
        else if (!zone->local) {
            evaluate_zone(detector, zone, now);
        }
    }
}

unsigned
LrZoneDetector_Count(const LrZoneDetector *detector)
{
    return detector->zones->len;
}

bool
LrZoneDetector_IsIsolated(const LrZoneDetector *detector)
{
    unsigned n_others = 0;
    for (guint i = 0; i < detector->zones->len; i++) {
        const LrZone *zone = detector->zones->pdata[i];
        if (zone->local || zone->n_targets == 0) {
            continue;
        }
        if (!zone->unreachable) {
            return false;
        }
        n_others++;
    }
    return n_others > 0;
}

void
LrZoneDetector_OnIsolationReport(LrZoneDetector *detector, LrTime now)
{
    detector->isolation_reported_at = now;
}

bool
LrZoneDetector_IsReportedIsolated(const LrZoneDetector *detector, LrTime now)
{
    unsigned n_others = 0;
    for (guint i = 0; i < detector->zones->len; i++) {
        const LrZone *zone = detector->zones->pdata[i];
        if (zone->local) {
            continue;
        }
        if (zone->last_contact_at >= detector->isolation_reported_at ||
            now - zone->last_contact_at < SILENCE_TIMEOUT) {
            return false;
        }
        n_others++;
    }
    return n_others > 0;
}
