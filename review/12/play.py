"""A change of the configuration while the store turns its readers away."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness_3 import *  # noqa: E402,F403

# Zone of each machine.
ZONES = ("z0",) * 9 + ("z1", "z2")
N_REFUSED, REFUSED_S = 4, 9.0
CHANGE_AFTER_S = 0.3
PER_S = 110
APPLY_S = BOUNDS["config_apply_ms"] / 1000


async def callers(fleet, answers):
    async def call(n):
        daemon = fleet.daemons[n % len(fleet.daemons)]
        sent_at = fleet.record.now()
        status, headers, _ = await ask(fleet.record, daemon, "/ficha/x",
                                       "call-%d" % n)
        if status == 200:
            name = headers["x-response-seal"].split(".")[1]
            answers.append((sent_at, daemon.name, name))
    n = 0
    began = fleet.record.now()
    while True:
        fleet.tasks.append(asyncio.ensure_future(call(n)))
        n += 1
        await asyncio.sleep(max(0, began + n / PER_S - fleet.record.now()))


async def play(fleet):
    services = ["socios", "intendencias"]
    searchers = [("%s%d" % (service, i), service, None, 6)
                 for service in services for i in range(5)]
    await fleet.start(config(1, [route("ficha", "/ficha/",
                                       service="socios")], services),
                      searchers, len(ZONES), ZONES, True)
    answers = []
    fleet.tasks.append(asyncio.ensure_future(callers(fleet, answers)))
    await asyncio.sleep(8)
    names = sorted((d.name for d in fleet.daemons),
                   key=lambda name: -fleet.store.read_at.get(name, 0))
    refused = names[:N_REFUSED] if TROUBLE else []
    if TROUBLE:
        fleet.store.refuse(refused)
        fleet.record.write("store turns away", *refused)
    await asyncio.sleep(CHANGE_AFTER_S)
    fleet.store.put_json("op/config", config(
        2, [route("ficha", "/ficha/", service="intendencias")], services))
    confirmed_at = fleet.record.now()
    fleet.record.write("confirmed", "version 2")
    await asyncio.sleep(REFUSED_S - CHANGE_AFTER_S)
    fleet.store.refuse([])
    fleet.record.write("store serves all")
    await asyncio.sleep(2)
    late = [(at, machine) for at, machine, searcher in answers
            if at > confirmed_at + APPLY_S and
            searcher.startswith("socios") and machine not in refused]
    machines = sorted({machine for _, machine in late})
    print("turned away: %s" % " ".join(refused))
    if not late:
        return []
    return ["CONFIG: %d requests that were sent 3.0 to %.1f s after version 2 "
            "had been confirmed were run by the service of version 1, at "
            "machines that the store serves: %s"
            % (len(late), max(at for at, _ in late) - confirmed_at,
               " ".join(machines))]


run(FOLDER, play)
