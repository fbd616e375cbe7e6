"""A runner is cut off and works on while the owner is stopped by SIGTERM (planned work).

Each round cuts one runner of eight off, from everything, for 5.5 s. One second later the daemon that
gives the orders gets SIGTERM, and is started again as the platform does.
"""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import site_standin as standin  # noqa: E402

ROUNDS = 5
CUT_S = 5.5
ENTRY_LIFE_S = 3 * standin.HEARTBEAT_S  # "after three heartbeat intervals of silence"
TASK_S = 8.0


async def cut_off(site, runner):
    """The runner receives and sends nothing, and works on."""
    site.record(f"{runner.id}: is cut off with {len(runner.runs)} runs, lease left "
                f"{runner.lease - runner.clock()} ms")
    runner.silent = True
    await asyncio.sleep(max(0, runner.last_beat + ENTRY_LIFE_S - site.record.now()))
    if runner.silent:
        site.record(f"store: the entry of {runner.id} is removed")
        await site.store.remove_row("servers", runner.id)


async def reconnect(site, runner):
    await asyncio.sleep(CUT_S)
    runner.silent = False
    site.record(f"{runner.id}: is reachable again")


async def case(site, trouble):
    rng = random.Random()
    await site.start(daemons=3, runners=8, behaviour=lambda task, spec: (TASK_S, "done"))
    for number in range(ROUNDS):
        job = f"{rng.getrandbits(64):016x}"
        for _ in range(4):
            if await site.submit(site.daemons[0], job, [{"count": 16, "cpu": 1000, "memMb": 512,
                                                         "estimatedMs": 8000}]) == 200:
                break
        await asyncio.sleep(1.5 + rng.random())
        owner = site.owner()
        runner = rng.choice([it for it in site.runners if it.runs])
        tasks = []
        if trouble:
            tasks = [asyncio.ensure_future(cut_off(site, runner)),
                     asyncio.ensure_future(reconnect(site, runner))]
        await asyncio.sleep(1)
        owner.send(signal.SIGTERM)
        await owner.process.wait()
        await owner.start()
        await asyncio.gather(*tasks)
        deadline = site.record.now() + 12
        while site.record.now() < deadline and any(site.active.values()):
            await asyncio.sleep(0.2)
    return not site.overlaps


standin.main(case, __file__)
