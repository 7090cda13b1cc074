/* A zone counts as cut off when several of its targets keep requests waiting
 * and nothing at all has been heard from it for a while; it is back with the
 * first sign of life. Single targets that fail are left to ejection. */
#include "zone_detector.h"

/* Nothing heard for this long: longer than targets stand still (200 ms), and
 * than two probe intervals of daemons (300 ms each). */
#define SILENCE (700 * LR_MILLISECOND)
/* A request that waits for longer than this makes its target a witness:
 * longer than targets stand still. */
#define WITNESS_WAIT (250 * LR_MILLISECOND)
/* Targets that must be waiting, so that one dead target is no cut; all where a
 * zone has fewer. */
enum { WITNESSES = 2 };
/* A zone without targets is forgotten when nothing was heard for this long. */
#define FORGET (60 * LR_SECOND)
/* A zone whose silence no new request confirms is tried again after this
 * time: its targets are hardly asked any more, and where no daemon is there to
 * be heard nothing would ever end the cut. */
#define HOLD (5 * LR_SECOND)

/* Judgements follow each other every 100 ms; after a longer gap this process
 * was stopped or slow, and what came meanwhile is still to be read. */
#define LATE (500 * LR_MILLISECOND)

struct LrZoneDetector {
    LrStr own;
    LrTime judged_at;
    /* Last time that another daemon said that this zone is isolated. */
    LrTime told_at;
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
LrZoneDetector_New(LrStr own_zone, LrLog *log)
{
    LrZoneDetector *reach = g_new0(LrZoneDetector, 1);
    reach->own = (LrStr){.ptr = LrStr_Dup(own_zone), .len = own_zone.len};
    reach->log = log;
    reach->zones = g_ptr_array_new_with_free_func(free_zone);
    return reach;
}

void
LrZoneDetector_Free(LrZoneDetector *reach)
{
    if (!reach) {
        return;
    }
    g_ptr_array_unref(reach->zones);
    g_free((char *)reach->own.ptr);
    g_free(reach);
}

LrZone *
LrZoneDetector_GetZone(LrZoneDetector *reach, LrStr name, LrTime now)
{
    for (guint i = 0; i < reach->zones->len; i++) {
        LrZone *zone = reach->zones->pdata[i];
        if (LrStr_Equal(zone->name, name)) {
            return zone;
        }
    }
    LrZone *zone = g_new0(LrZone, 1);
    zone->name = (LrStr){.ptr = LrStr_Dup(name), .len = name.len};
    zone->local = LrStr_Equal(name, reach->own);
    zone->last_contact_at = now;
    g_ptr_array_add(reach->zones, zone);
    return zone;
}

void
LrZone_OnContact(LrZone *zone, LrTime now)
{
    zone->last_contact_at = now;
}

void
LrZoneDetector_BeginRound(LrZoneDetector *reach)
{
    for (guint i = 0; i < reach->zones->len; i++) {
        ((LrZone *)reach->zones->pdata[i])->n_overdue = 0;
    }
}

void
LrZone_OnWaiting(LrZone *zone, LrTime oldest_sent_at, LrTime now)
{
    zone->n_overdue += now - oldest_sent_at > WITNESS_WAIT;
}

static void
set_cut(LrZoneDetector *reach, LrZone *zone, bool cut, LrTime now)
{
    zone->unreachable = cut;
    LR_LOG(
        reach->log, LOG_WARNING, cut ? "zone_lost" : "zone_regained",
        LrLog_Str("zone", zone->name),
        LrLog_Int("heard_ms", (now - zone->last_contact_at) / LR_MILLISECOND),
        LrLog_Int("silent_targets", zone->n_overdue));
}

static void
judge_zone(LrZoneDetector *reach, LrZone *zone, LrTime now)
{
    bool unheard = now - zone->last_contact_at > SILENCE;
    if (unheard && zone->n_overdue > 0 &&
        zone->n_overdue >= MIN(WITNESSES, zone->n_targets)) {
        zone->confirmed_at = now;
        if (!zone->unreachable) {
            set_cut(reach, zone, true, now);
        }
        return;
    }
    if (zone->unreachable && (!unheard || now - zone->confirmed_at > HOLD)) {
        set_cut(reach, zone, false, now);
    }
}

void
LrZoneDetector_OnLateWakeup(LrZoneDetector *reach, LrTime now)
{
    for (guint i = 0; i < reach->zones->len; i++) {
        LrZone_OnContact(reach->zones->pdata[i], now);
    }
}

static bool
is_forgotten(const LrZone *zone, LrTime now)
{
    return !zone->local && zone->n_targets == 0 &&
           now - zone->last_contact_at > FORGET;
}

void
LrZoneDetector_Evaluate(LrZoneDetector *reach, LrTime now)
{
    if (reach->judged_at > 0 && now - reach->judged_at > LATE) {
        LrZoneDetector_OnLateWakeup(reach, now);
    }
    reach->judged_at = now;
    for (guint i = reach->zones->len; i-- > 0;) {
        LrZone *zone = reach->zones->pdata[i];
        if (is_forgotten(zone, now)) {
            g_ptr_array_remove_index_fast(reach->zones, i);
        }
        else if (!zone->local) {
            judge_zone(reach, zone, now);
        }
    }
}

unsigned
LrZoneDetector_Count(const LrZoneDetector *reach)
{
    return reach->zones->len;
}

bool
LrZoneDetector_IsIsolated(const LrZoneDetector *reach)
{
    unsigned n_others = 0;
    for (guint i = 0; i < reach->zones->len; i++) {
        const LrZone *zone = reach->zones->pdata[i];
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
LrZoneDetector_OnIsolationReport(LrZoneDetector *reach, LrTime now)
{
    reach->told_at = now;
}

bool
LrZoneDetector_IsReportedIsolated(const LrZoneDetector *reach, LrTime now)
{
    unsigned n_others = 0;
    for (guint i = 0; i < reach->zones->len; i++) {
        const LrZone *zone = reach->zones->pdata[i];
        if (zone->local) {
            continue;
        }
        if (zone->last_contact_at >= reach->told_at ||
            now - zone->last_contact_at < SILENCE) {
            return false;
        }
        n_others++;
    }
    return n_others > 0;
}
