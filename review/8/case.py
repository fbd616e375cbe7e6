"""A repeated submission whose occurrences overlap; the daemon that owns the fleet is killed."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
sys.dont_write_bytecode = True

import checks  # noqa: E402
import site_play as site_module  # noqa: E402

TASKS = 4000
OCCURRENCES = 20
INTERVAL_MS = 1000
WORK_S = 2.0
KILL_AFTER_S = 26.0  # since the submission
DOWN_S = 1.0
LAST_S = 16.0  # of play after the kill


async def play(site):
    site.record.quiet = True
    await site.put_manifest([site_module.route("batches", "/batches/")])
    await site.add_runners(6, lambda runner, run: (WORK_S, "done"))
    await site.start_daemons()
    accepted = await site.submit("/batches/", {
        "spec": "nightly batch",
        "phases": [{"count": TASKS, "cpu": 100, "memMb": 10, "estimatedMs": 2000}],
        "repeatCount": OCCURRENCES, "intervalMs": INTERVAL_MS,
        "startAtMs": int(time.time() * 1000) + 500})
    if accepted is None:
        raise site_module.CannotRun("the submission was not accepted")
    await asyncio.sleep(KILL_AFTER_S)
    done = [it for it in site.record.ends if it["how"] == "done"]
    site.record.write("before", done=len(done), noted=len(site.record.acknowledged))
    if site_module.with_trouble():
        owner = site.owner()
        if owner is None:
            raise site_module.CannotRun("no owner was found")
        owner.kill()
        await asyncio.sleep(DOWN_S)
        owner.start()
    await asyncio.sleep(LAST_S)
    await site.request(site.daemons[0], "GET", "/batches/" + accepted)
    site.record.write("after", starts=len(site.record.starts), ends=len(site.record.ends),
                      noted=len(site.record.acknowledged))
    return checks.starts_after_noted_done(site.record)


site_module.main(__file__, play)
