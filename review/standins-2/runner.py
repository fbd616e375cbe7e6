"""A runner: one life of a machine that runs tasks under a lease (PROTOCOL.md)."""

import asyncio
import json
import time

from http_io import Server


class Run:
    def __init__(self, task, number, spec, started):
        self.task = task
        self.number = number
        self.spec = spec
        self.started = started
        self.timer = None
        self.stopping = False


class Runner:
    """`behaviour(runner, run)` returns (seconds, end): how long the run works and how it ends, with
    `end` one of done, failed and crash (of the whole runner)."""

    def __init__(self, store, record, identity, behaviour, cpu=16000, memory_mb=65536, zone="a",
                 labels=("a", "r1-1"), service="svc", hold_max_ms=6000, stop_s=0.1,
                 entry_delay_s=0.8, down_s=2.0):
        self.store = store
        self.record = record
        self.identity = identity
        self.behaviour = behaviour
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.zone = zone
        self.labels = list(labels)
        self.service = service
        self.hold_max_ms = hold_max_ms
        self.stop_s = stop_s
        self.entry_delay_s = entry_delay_s  # from the start of a later life to its entry
        self.down_s = down_s
        self.address = None
        self.up = False
        self.incarnation = 0
        self.server = None
        self.next_labels = None  # of the next incarnation, if it is of another kind

    async def start(self, host, port=0):
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}  # (task, run) -> Run
        self.finished = []
        self.last_end = 0
        self.highest_ended = {}  # task -> highest run that was stopped or has ended here
        self.ended = asyncio.Event()
        self.up = True
        self.host = host
        self.server = Server(self.handle)
        self.port = await self.server.listen(host, port)
        self.address = "%s:%d" % (host, self.port)
        self.lease_task = asyncio.create_task(self.watch_lease())

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def entry(self, state="ready"):
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                "labels": self.labels,
                "clockMs": self.clock_ms(),
                "born": self.born,
                "seq": self.incarnation,
            }
        )

    async def register(self):
        await self.store.put_as_platform("servers", self.identity, self.entry())

    async def crash(self, restart=True):
        """The process ends without a word and is back after `down_s`, under the same id."""
        if not self.up:
            return
        self.up = False
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self.record.run_lost(self, run)
        self.runs = {}
        self.lease_task.cancel()
        await self.server.close()
        self.record.write("runner_crashed", runner=self.identity, life=self.incarnation)
        if restart:
            asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.down_s)
        if self.next_labels is not None:
            self.labels, self.next_labels = self.next_labels, None
        await self.start(self.host, self.port)
        self.record.write("runner_back", runner=self.identity, life=self.incarnation,
                          labels=",".join(self.labels))
        await asyncio.sleep(self.entry_delay_s)
        if self.up:
            await self.register()
            self.record.write("runner_registered", runner=self.identity, life=self.incarnation)

    async def watch_lease(self):
        lapsed = True  # no lease yet
        while True:
            await asyncio.sleep(0.02)
            was_lapsed, lapsed = lapsed, self.clock_ms() > self.deadline_ms
            if lapsed and not was_lapsed:
                self.record.lease_lapsed(self)
            if lapsed:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, ""])
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.number)
        self.record.run_ended(self, run, how)
        self.ended.set()

    def begin(self, body):
        run = Run(body["task"], body["run"], body.get("spec", ""), time.monotonic())
        self.runs[(run.task, run.number)] = run
        self.record.run_started(self, run, body)
        seconds, how = self.behaviour(self, run)
        loop = asyncio.get_running_loop()
        if how == "crash":
            run.timer = loop.call_later(seconds, lambda: asyncio.ensure_future(self.crash()))
        elif seconds is not None:
            run.timer = loop.call_later(seconds, self.end, run, how)

    def extend(self, deadline_ms):
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, self.clock_ms() + self.hold_max_ms))

    def answer(self, status, **fields):
        fields.update(clockMs=self.clock_ms(), born=self.born)
        return status, fields

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.identity) != self.identity:
            return self.answer(421)
        body = request.json()
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if request.path == "/cranberrydock/run-start":
            return self.run_start(body)
        if request.path == "/cranberrydock/run-stop":
            return self.run_stop(body)
        if request.path == "/cranberrydock/hold":
            return await self.hold(body)
        return self.answer(404)

    def run_start(self, body):
        if (body["task"], body["run"]) in self.runs:
            self.extend(body["deadlineMs"])
            return self.answer(200)
        if body["deadlineMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        if body["run"] <= self.highest_ended.get(body["task"], 0):
            return self.answer(409, reason="old")
        self.begin(body)
        return self.answer(200)

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(self.stop_s, self.end, run, "stopped")
        return self.answer(200)

    async def hold(self, body):
        acknowledged = body.get("ackSeq", 0)
        for it in self.finished:
            if it[0] <= acknowledged:
                self.record.end_acknowledged(self, it)
        self.finished = [it for it in self.finished if it[0] > acknowledged]
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        if body.get("waitMs", 0) > 0 and not self.finished:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [
            [run.task, run.number, "", min(99, int(time.monotonic() - run.started)), 0]
            for run in self.runs.values()
        ]
        return self.answer(200, running=running, finished=self.finished[:500])
