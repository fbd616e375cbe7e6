"""A machine freezes; clients cancel what they could not hand in there, and it wakes again.

Clients submit at a daemon that is frozen for 4 s. They wait for their whole time budget, 3 s, and then
cancel at another daemon, whether their POST has been answered or not. A submission has two steps: a task
of 12 s, and after it a second one.
"""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import site_standin as standin  # noqa: E402

FROZEN_S = 4.0
TIME_BUDGET_S = 3.0
TASK_S = 12.0
SUBMISSIONS = 8
PHASES = [{"count": 1, "cpu": 1000, "memMb": 512, "estimatedMs": 12000},
          {"count": 1, "cpu": 1000, "memMb": 512, "estimatedMs": 12000, "after": [0]}]


async def submit_and_cancel(site, first, second, job, acknowledged):
    began = site.record.now()
    await site.submit(first, job, PHASES, timeout=TIME_BUDGET_S)
    await asyncio.sleep(max(0, began + TIME_BUDGET_S - site.record.now()))
    for _ in range(5):
        if await site.cancel(second, job) in (200, 410):
            acknowledged[job] = site.record.now()
            return
        await asyncio.sleep(0.5)


async def case(site, trouble):
    rng = random.Random()
    await site.start(daemons=3, runners=8, behaviour=lambda task, spec: (TASK_S, "done"))
    owner = site.owner()
    frozen, other = rng.sample([it for it in site.daemons if it is not owner], 2)
    if trouble:
        frozen.send(signal.SIGSTOP)
    acknowledged = {}
    clients = []
    for _ in range(SUBMISSIONS):
        job = f"{rng.getrandbits(64):016x}"
        clients.append(asyncio.ensure_future(
            submit_and_cancel(site, frozen, other, job, acknowledged)))
    await asyncio.sleep(FROZEN_S)
    if trouble:
        frozen.send(signal.SIGCONT)
    calm_from = site.record.now() + standin.BOUNDS["contactMs"] / 1000
    await asyncio.gather(*clients)
    await asyncio.sleep(TASK_S + 5)
    # Starts later than cancel_ms after the acknowledgement, with no disruption for contactMs.
    cancel_s = standin.BOUNDS["cancel_ms"] / 1000
    broken = False
    for at, task, run, runner, _ in site.starts:
        job = task.split(".")[0]
        if job in acknowledged and at > acknowledged[job] + cancel_s and at > calm_from:
            broken = True
            site.record(f"STARTED AFTER ITS CANCELLING: {task} run {run} on {runner} at {at:.3f}, "
                        f"cancelling acknowledged at {acknowledged[job]:.3f}")
    return not broken


standin.main(case, __file__)
