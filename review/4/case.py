"""A machine that reaches no searcher refuses its requests while the other
machine of its zone stops, although those of other zones could run them."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d

CUT_S = 5.0
STOP_AT_S = 4.0
PER_S = 180


async def case(dep):
    await dep.start(zones=("z1", "z2", "z3", "z1", "z2", "z3"))
    searchers = [d.Searcher(dep, f"s{i}", "members", zone=f"z{i % 3 + 1}",
                            work_s=0.02) for i in range(6)]
    for searcher in searchers:
        await searcher.start()
    dep.configure([d.single_route("members")], ["members"])
    await dep.wait_ready()
    stranded, mate = dep.machines[0], dep.machines[3]
    await asyncio.sleep(6)
    traffic = dep.spawn(dep.traffic("/card/1", per_s=PER_S, for_s=10))
    await asyncio.sleep(2)
    for searcher in searchers:
        searcher.cut(stranded.source)
    cut_at = dep.record.add("cut", machine=stranded.name)
    await asyncio.sleep(STOP_AT_S)
    if d.TROUBLE:
        mate.signal(signal.SIGTERM)
        dep.record.add("sigterm", machine=mate.name)
    await asyncio.sleep(CUT_S - STOP_AT_S)
    for searcher in searchers:
        searcher.heal(stranded.source)
    healed_at = dep.record.add("healed", machine=stranded.name)
    await traffic
    await asyncio.sleep(1)

    def tries(machines):
        names = [name for name, at in dep.sent_at.items()
                 if cut_at + d.STABILITY_S < at < healed_at - 0.1
                 and dep.sent_to[name] in machines]
        return len(names), sum(dep.status.get(n) == 200 for n in names)

    others = {m.name for m in dep.machines if m not in (stranded, mate)}
    n_own, served_own = tries({stranded.name})
    n_others, served_others = tries(others)
    dep.record.add("first_tries", stranded=n_own, served=served_own,
                   others=n_others, others_served=served_others)
    if n_own == 0 or n_others == 0:
        raise d.CannotRun("no requests")
    failed = n_own - served_own
    if (served_own / n_own < 2 / 3 * served_others / n_others
            and failed > 10 + n_own / 50):
        return [f"{stranded.name}, partitioned from all searchers, served "
                f"{served_own} of {n_own} first tries, the machines of other "
                f"zones {served_others} of {n_others}"]
    return []


sys.exit(d.run(case, HERE))
