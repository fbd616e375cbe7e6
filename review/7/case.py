"""Runners with more than 500 ends that are not taken note of when the owner of the fleet is killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
sys.dont_write_bytecode = True

import checks  # noqa: E402
import site_play as site_module  # noqa: E402

RUNNERS = 3
CPU = 32000  # of a runner
TASK_CPU = 20
WORK_S = 2.5
TASKS = RUNNERS * CPU // TASK_CPU
LAST_S = 12.0


async def play(site):
    site.record.quiet = True
    await site.put_manifest([site_module.route("checks", "/checks/")])
    await site.add_runners(RUNNERS, lambda runner, run: (WORK_S, "done"), cpu=CPU)
    await site.start_daemons()
    accepted = await site.submit("/checks/", {
        "spec": "many small checks",
        "phases": [{"count": TASKS, "cpu": TASK_CPU, "memMb": 10,
                    "estimatedMs": int(WORK_S * 1000)}]})
    if accepted is None:
        raise site_module.CannotRun("the submission was not accepted")
    began = site.record.now()
    while len(site.record.starts) < TASKS and site.record.now() < began + 20:
        await asyncio.sleep(0.02)
    site.record.write("started", starts=len(site.record.starts), ends=len(site.record.ends))
    while not site.record.ends and site.record.now() < began + 25:
        await asyncio.sleep(0.01)
    if site_module.with_trouble():
        owner = site.owner()
        if owner is None:
            raise site_module.CannotRun("no owner was found")
        owner.kill()
        for _ in range(10):
            site.record.write("unnoted", **{it.identity: len(it.finished) for it in site.runners})
            await asyncio.sleep(0.2)
        owner.start()
    await asyncio.sleep(LAST_S)
    await site.request(site.daemons[0], "GET", "/checks/" + accepted)
    site.record.write("after", starts=len(site.record.starts), ends=len(site.record.ends),
                      noted=len(site.record.acknowledged))
    return checks.starts_after_noted_done(site.record)


site_module.main(__file__, play)
