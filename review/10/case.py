"""A runner crashes and starts again, under its id, as one of another kind."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
sys.dont_write_bytecode = True

import site_play as site_module  # noqa: E402

PLAY_S = 25.0
CRASH_AT_S = 8.0


async def play(site):
    await site.put_manifest([site_module.route("work", "/work/")])
    await site.add_runners(2, lambda runner, run: (0.3, "done"), labels=("a", "r1-1"))
    await site.add_runners(4, lambda runner, run: (0.3, "done"), labels=("b", "r1-2"))
    await site.start_daemons()

    async def submit_all():
        for _ in range(int(PLAY_S / 0.25)):
            asyncio.create_task(site.submit("/work/", {
                "spec": "kind a only",
                "phases": [{"count": 3, "cpu": 4000, "memMb": 100, "estimatedMs": 300,
                            "requirements": "a"}]}))
            await asyncio.sleep(0.25)

    traffic = asyncio.create_task(submit_all())
    await asyncio.sleep(CRASH_AT_S)
    if site_module.with_trouble():
        crashed = site.runners[0]
        crashed.next_labels = ["b", "r1-1"]
        await crashed.crash()
    await traffic
    await asyncio.sleep(2)
    if not site.record.starts:
        raise site_module.CannotRun("nothing was started")
    return ["ROUTE: %s run %d started on %s, life %d, at %.3f: its labels are %s, not a"
            % (it["task"], it["run"], it["runner"], it["life"], it["at"], ",".join(it["labels"]))
            for it in site.record.starts if "a" not in it["labels"]]


site_module.main(__file__, play)
