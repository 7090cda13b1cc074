"""Ordinary callers of a daemon beside a crowd of clients that don't behave."""
import asyncio
import time

import harness_2 as h

ALERTS = "/alerts/"
TIMEOUT_MS, LATE_S = 600, 0.5
CROWD_FOR_S, ORDINARY_EVERY_S, GIVE_UP_S = 20, 0.25, 15
# Fewer requests that are unanswered at their timeout tell nothing.
MIN_LATE = 8


async def misbehave(setup, make_request, number, stop_at):
    """Sends one request after the other, each when the last was answered."""
    n = 0
    while time.monotonic() < stop_at:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", setup.daemons[0].front)
            while time.monotonic() < stop_at:
                n += 1
                writer.write(make_request(f"x{number}-{n}"))
                message = await h.read_message(reader)
                if not message:
                    break
                setup.record("crowd", id=f"x{number}-{n}",
                             status=message[0].split(" ")[1])
            writer.close()
        except OSError:
            await asyncio.sleep(0.1)


async def ordinary(setup, request_id, times):
    """One alert on a connection of its own."""
    start = time.monotonic()
    setup.record("sent", id=request_id)
    status = "none"
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", setup.daemons[0].front)
        writer.write(h.request("GET", ALERTS + request_id, request_id,
                               TIMEOUT_MS))
        message = await asyncio.wait_for(h.read_message(reader), GIVE_UP_S)
        status = message[0].split(" ")[1] if message else "closed"
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    took = time.monotonic() - start
    setup.record("answered", id=request_id, status=status,
                 ms=round(1000 * took))
    times.append(took)


async def probe_ready(setup, stop_at, misses):
    """Asks once a second, as the balancer does."""
    while time.monotonic() < stop_at:
        next_at = time.monotonic() + 1
        if not await setup.daemons[0].is_ready():
            misses.append(time.monotonic())
            setup.record("not_ready")
        await asyncio.sleep(max(0, next_at - time.monotonic()))


async def play(setup, crowd, make_request):
    """Plays a crowd of that size; returns what breaks the rule."""
    searchers = [h.Searcher(setup.record, f"i-{name}", "calendario")
                 for name in ("one", "two", "three")]
    for searcher in searchers:
        await searcher.start(setup.store)
    setup.store.put("op/config", h.config(1, [
        {"name": "r-alerts", "host": h.HOST, "prefix": ALERTS,
         "type": "idempotent", "timeout_ms": TIMEOUT_MS,
         "target_latency_ms": 60, "priority": 0, "service": "calendario",
         "max_attempts": 2}], {"calendario": 31}))
    await setup.start_daemons(["z0", "z1"])
    # Machines are in touch once stability_window_ms has passed.
    await asyncio.sleep(5)
    stop_at = time.monotonic() + CROWD_FOR_S
    tasks, times, misses = [], [], []
    if h.trouble():
        tasks += [asyncio.ensure_future(
            misbehave(setup, make_request, i, stop_at)) for i in range(crowd)]
    tasks.append(asyncio.ensure_future(probe_ready(setup, stop_at, misses)))
    n = 0
    while time.monotonic() < stop_at:
        n += 1
        tasks.append(asyncio.ensure_future(ordinary(setup, f"a{n}", times)))
        await asyncio.sleep(ORDINARY_EVERY_S)
    await asyncio.gather(*tasks)
    late = [t for t in times if t > TIMEOUT_MS / 1000]
    later = [t for t in late if t > TIMEOUT_MS / 1000 + LATE_S]
    print(f"ordinary={len(times)} unanswered_at_timeout={len(late)} "
          f"half_a_second_later={len(later)} slowest_s={max(times):.1f} "
          f"ready_probes_missed={len(misses)}")
    if len(late) >= MIN_LATE and 2 * len(later) > len(late):
        return [f"CONFIG: {len(later)} of {len(late)} requests that were "
                "unanswered at their route's timeout had no answer half a "
                "second later"]
    return []
