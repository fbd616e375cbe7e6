"""Clients withdraw submissions that have not been answered yet, while answers of the store are lost.

For 4.5 s the store performs 0.35 of the writes without answering them, 1 to 6 s late. Clients submit
at one daemon and, 200 ms later, cancel the same submission at another one, whether their POST has been
answered or not. A submission has two steps: a task of 15 s, and after it a second one.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import site_standin as standin  # noqa: E402

LOST_S = 4.5
LOST_SHARE = 0.35
LATE_S = (1.0, 6.0)
CANCEL_AFTER_S = 0.2
TASK_S = 15.0
SUBMISSIONS = 16
PHASES = [{"count": 1, "cpu": 1000, "memMb": 512, "estimatedMs": 15000},
          {"count": 1, "cpu": 1000, "memMb": 512, "estimatedMs": 15000, "after": [0]}]


async def submit_and_cancel(site, rng, job, acknowledged):
    first, second = rng.sample(site.daemons, 2)
    submitting = asyncio.ensure_future(site.submit(first, job, PHASES))
    await asyncio.sleep(CANCEL_AFTER_S)
    for _ in range(5):
        status = await site.cancel(second, job)
        if status in (200, 410):
            acknowledged[job] = site.record.now()
            break
        await asyncio.sleep(0.5)
    # The client has left: its channel is closed and it doesn't submit again.
    submitting.cancel()


async def case(site, trouble):
    rng = random.Random()
    await site.start(daemons=3, runners=8, behaviour=lambda task, spec: (TASK_S, "done"))
    trouble_ends = site.record.now() + LOST_S
    if trouble:
        site.record("store: loses answers from now on")

        def lose_write(transaction):
            lost = site.record.now() < trouble_ends and rng.random() < LOST_SHARE
            return rng.uniform(*LATE_S) if lost else None
        site.store.lose_write = lose_write
    await asyncio.sleep(1)
    acknowledged = {}
    clients = []
    for _ in range(SUBMISSIONS):
        job = f"{rng.getrandbits(64):016x}"
        clients.append(asyncio.ensure_future(submit_and_cancel(site, rng, job, acknowledged)))
        await asyncio.sleep(3.2 / SUBMISSIONS)
    await asyncio.sleep(max(0, trouble_ends - site.record.now()))
    site.record("store: answers everything again")
    await asyncio.gather(*clients, return_exceptions=True)
    await asyncio.sleep(TASK_S + 8)
    # Starts later than cancel_ms after the acknowledgement, with the store stable for contactMs.
    cancel_s = standin.BOUNDS["cancel_ms"] / 1000
    calm_from = trouble_ends + LATE_S[1] + standin.BOUNDS["contactMs"] / 1000
    broken = False
    for at, task, run, runner, _ in site.starts:
        job = task.split(".")[0]
        if job in acknowledged and at > acknowledged[job] + cancel_s and at > calm_from:
            broken = True
            site.record(f"STARTED AFTER ITS CANCELLING: {task} run {run} on {runner} at {at:.3f}, "
                        f"cancelling acknowledged at {acknowledged[job]:.3f}")
    return not broken


standin.main(case, __file__)
