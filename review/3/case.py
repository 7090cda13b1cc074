"""A searcher's Retry-After is forgotten when a route leaves its service and
comes back."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d

PAUSE_S = 20
SLACK_S = 0.5
ALLOWED = 2


async def case(dep):
    await dep.start()
    searchers = [d.Searcher(dep, f"s{i}", "members") for i in range(3)]
    searchers += [d.Searcher(dep, f"p{i}", "portal") for i in range(2)]
    for searcher in searchers:
        await searcher.start()
    services = ["members", "portal"]
    dep.configure([d.single_route("members")], services)
    await dep.wait_ready()

    # When the searcher asked a machine for a pause, by the machine's name.
    asked = {}
    full = False

    async def behave(searcher, request):
        if not full:
            return None
        name = request.get("X-Request-Id")
        asked[dep.sent_to[name]] = dep.record.now()
        return searcher.reject(name, [("Retry-After", str(PAUSE_S))])

    searchers[0].behave = behave
    traffic = dep.spawn(dep.traffic("/card/1", per_s=45, for_s=24))
    await asyncio.sleep(3)
    full = True
    await asyncio.sleep(2)
    full = False
    if len(asked) < len(dep.machines):
        raise d.CannotRun("the searcher was not asked by every machine")
    if d.TROUBLE:
        dep.configure([d.single_route("portal")], services)
    await asyncio.sleep(4)
    if d.TROUBLE:
        dep.configure([d.single_route("members")], services)
    await traffic
    breaks = []
    for machine, at in asked.items():
        late = [when for when, name in searchers[0].arrivals
                if dep.sent_to[name] == machine
                and at + SLACK_S < when < at + PAUSE_S]
        if len(late) > ALLOWED:
            breaks.append(f"{len(late)} requests from {machine} reached "
                          f"{searchers[0].id} up to {late[-1] - at:.1f} s "
                          f"after it had asked for {PAUSE_S} s")
    return breaks


sys.exit(d.run(case, HERE))
