"""One task crashes each runner that starts it, some seconds into its run, beside short tasks."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
sys.dont_write_bytecode = True

import site_play as site_module  # noqa: E402

PLAY_S = 90.0
CRASH_AFTER_S = 2.5  # of each run of the task
CRASHING = "task that crashes its runner"
SERVED = 3  # crashes after which the starts are counted
ALLOWED = 3  # breaks the rule: started this often more


async def play(site):
    site.record.quiet = True

    def behaviour(_, run):
        if run.spec == CRASHING:
            return (CRASH_AFTER_S, "crash") if site_module.with_trouble() else (8.0, "done")
        return 0.8, "done"

    await site.put_manifest([site_module.route("batches", "/batches/", priority=1),
                             site_module.route("previews", "/previews/", priority=0)])
    await site.add_runners(8, behaviour, down_s=2.0)
    await site.start_daemons()
    stop = asyncio.Event()

    async def previews():
        while not stop.is_set():
            asyncio.create_task(site.submit("/previews/", {
                "spec": "preview",
                "phases": [{"count": 4, "cpu": 2000, "memMb": 500, "estimatedMs": 800}]}))
            await asyncio.sleep(0.063)

    traffic = asyncio.create_task(previews())
    await asyncio.sleep(3)
    suspect = await site.submit("/batches/", {
        "spec": CRASHING, "phases": [{"count": 1, "cpu": 2000, "memMb": 500, "estimatedMs": 8000}]})
    if suspect is None:
        raise site_module.CannotRun("the submission was not accepted")
    await asyncio.sleep(PLAY_S)
    await site.request(site.daemons[0], "GET", "/batches/" + suspect)
    stop.set()
    await traffic
    starts = [it for it in site.record.starts if it["task"].startswith(suspect)]
    crashes = sorted(it["at"] for it in site.record.lost if it["task"].startswith(suspect))
    if not starts:
        raise site_module.CannotRun("the task was not started")
    if len(crashes) < SERVED:
        return []
    later = [it for it in starts if it["at"] > crashes[SERVED - 1]]
    site.record.write("summary", starts=len(starts), crashes=len(crashes), later=len(later))
    if len(later) < ALLOWED:
        return []
    return ["BUDGET: %s run %d started on %s at %.3f, after %d runners had crashed under it"
            % (it["task"], it["run"], it["runner"], it["at"],
               sum(1 for at in crashes if at < it["at"])) for it in later]


site_module.main(__file__, play)
