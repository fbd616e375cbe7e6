"""Stand-ins for the platform's store and the runners, a client, and the processes of a small deployment.

Standard library only; every address is a loopback address. All stand-ins live in one process, so
that the record has one clock.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse

T0 = time.monotonic()
HEARTBEAT_S = 1.5
NET = "127.%d" % (20 + os.getpid() % 200)  # loopback addresses of this process


def now_ms():
    return int((time.monotonic() - T0) * 1000)


def free_port(host):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return s.getsockname()[1]


class Record:
    def __init__(self, path):
        self.out = open(path, "w")

    def __call__(self, *words):
        self.out.write("%7d %s\n" % (now_ms(), " ".join(str(w) for w in words)))
        self.out.flush()


# -- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", 0))
    body = await reader.readexactly(n) if n else b""
    return lines[0], headers, body


async def serve(host, port, handler, channels=None):
    """Serves until closed. `channels` collects the open channels."""
    async def on_channel(reader, writer):
        if channels is not None:
            channels.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                answer = await handler(method, parts.path, query, headers, body)
                if answer is None:  # no answer: the channel delivers nothing further
                    await asyncio.sleep(3600)
                status, out = answer
                data = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            if channels is not None:
                channels.discard(writer)
            writer.close()
    return await asyncio.start_server(on_channel, host, port, backlog=512, limit=1 << 24)


async def request(address, method, path, body=None, headers=(), timeout=3.0):
    """Returns (status, body), or None without a complete answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            for k, v in headers:
                head += "%s: %s\r\n" % (k, v)
            head += "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(data)
            writer.write(head.encode() + data)
            await writer.drain()
            line, _, out = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(out) if out else {}
    except (TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


# -- the platform's store

class Store:
    def __init__(self, host, tx_ms=6.0):
        self.host, self.port = host, free_port(host)
        self.address = "%s:%d" % (host, self.port)
        self.rows = {}     # (table, part, key) -> (value, ver)
        self.log = []      # (ver, table, part, key, value or None)
        self.ver = 0
        self.changed = asyncio.Event()
        self.locks = {}
        self.tx_ms = tx_ms
        self.fault = None  # callable(path, body) -> None, "503", "silent", "lost"

    async def start(self):
        self.server = await serve(self.host, self.port, self.handle)

    def put(self, table, key, value, part=""):
        self.ver += 1
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        self.set(table, part, key, text)
        self.wake()

    def set(self, table, part, key, value):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (value, self.ver)
        self.log.append((self.ver, table, part, key, value))

    def drop(self, table, key, part=""):
        self.ver += 1
        self.set(table, part, key, None)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, at):
        value, ver = self.rows[at]
        return {"table": at[0], "part": at[1], "key": at[2], "value": value, "ver": ver}

    def answer(self, status, **fields):
        fields.update(ver=self.ver, nowMs=now_ms())
        return status, fields

    async def handle(self, method, path, query, headers, body):
        fault = self.fault(path, body) if self.fault else None
        if fault == "503":
            return 503, {}
        if fault == "silent":
            return None
        out = await self.perform(path, query, body)
        return None if fault == "lost" else out

    async def perform(self, path, query, body):
        if path == "/cranberrydock/rows-tx":
            tx = json.loads(body)
            entries = tx.get("precondition", []) + tx.get("puts", []) + tx.get("remove", [])
            parts = {e.get("part", "") for e in entries}
            if len(entries) > 100 or len(body) > (1 << 20) * 2 or len(parts) != 1:
                return 400, {}
            if any(len(p["value"]) > 65536 * 4 // 3 + 4 for p in tx.get("puts", [])):
                return 400, {}
            lock = self.locks.setdefault(parts.pop(), asyncio.Lock())
            async with lock:
                await asyncio.sleep(self.tx_ms / 1000)
                at = lambda e: (e["table"], e.get("part", ""), e["key"])
                if any(self.rows.get(at(e), ("", 0))[1] != e.get("ver", 0) for e in tx.get("precondition", [])):
                    return self.answer(412, rows=[self.row(at(e)) for e in tx["precondition"] if at(e) in self.rows])
                self.ver += 1
                for e in tx.get("puts", []):
                    self.set(*at(e), e["value"])
                for e in tx.get("remove", []):
                    self.set(*at(e), None)
                self.wake()
                return self.answer(200)
        if path == "/cranberrydock/rows-get":
            await asyncio.sleep(0.004)
            lo, hi = query.get("from", ""), query.get("to", "")
            keys = sorted(k for k in self.rows if k[0] == query["table"] and k[1] == query.get("part", "")
                          and k[2] >= lo and (not hi or k[2] < hi))
            limit = min(500, int(query.get("limit", 500)))
            return self.answer(200, rows=[self.row(k) for k in keys[:limit]], hasMore=len(keys) > limit)
        if path == "/cranberrydock/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query["table"]})
            return self.answer(200, parts=parts, hasMore=False)
        if path == "/cranberrydock/rows-feed":
            await asyncio.sleep(0.004)
            after, table = int(query["after"]), query["table"]
            end = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000)
            while True:
                out = []
                for ver, t, part, key, value in self.log_after(after):
                    if t == table:
                        row = {"table": t, "part": part, "key": key, "ver": ver}
                        row.update({"deleted": True} if value is None else {"value": value})
                        out.append(row)
                left = end - time.monotonic()
                if out or left <= 0:
                    return self.answer(200, rows=out)
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}

    def log_after(self, ver):
        lo, hi = 0, len(self.log)
        while lo < hi:
            mid = (lo + hi) // 2
            if self.log[mid][0] <= ver:
                lo = mid + 1
            else:
                hi = mid
        return self.log[lo:]


# -- runners

class Run:
    def __init__(self, task, run, spec, started):
        self.task, self.run, self.spec, self.started = task, run, spec, started
        self.timer = None
        self.saved = ""


class Runner:
    """A worker. `world.plan(task, run)` tells what a start does: (seconds, how)."""

    def __init__(self, world, number, zone, cpu=16000):
        self.world, self.number, self.zone, self.cpu = world, number, zone, cpu
        self.host = "%s.1.%d" % (NET, number + 1)
        self.port = free_port(self.host)
        self.id = "w%08x" % random.Random("id%d" % number).getrandbits(32)
        self.draining = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.t0 = time.monotonic()
        self.runs, self.ended_runs, self.finished = {}, {}, []
        self.seq, self.fence, self.lease, self.beats = 0, 0, 0, 0
        self.event = asyncio.Event()
        self.up = True
        self.channels = set()
        self.server = await serve(self.host, self.port, self.handle, self.channels)
        self.lapse = asyncio.create_task(self.watch_lease())
        self.beat = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            self.enter()
            await asyncio.sleep(HEARTBEAT_S)

    def enter(self):
        self.beats += 1
        self.world.store.put("servers", self.id, {
            "service": "work", "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
            "version": "1", "slots": 8, "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0, "seq": self.beats, "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a", "r1-%d" % (self.number // 8)]})

    def crash(self):
        """The process ends: its channels are reset, and the entry expires after three heartbeats."""
        self.up = False
        self.lapse.cancel()
        self.beat.cancel()
        for r in list(self.runs.values()):
            r.timer.cancel()
            self.world.ended(self, r, "crashed")
        self.runs = {}
        self.server.close()
        for it in list(self.channels):
            it.transport.abort()
        self.world.record("runner", self.id, "crashes")
        born = self.born
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.born == born and self.world.store.drop("servers", self.id))

    def clock(self):
        return int((time.monotonic() - self.t0) * 1000) + 1000

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.runs and self.lease and self.clock() > self.lease:
                for r in list(self.runs.values()):
                    self.end(r, "lapsed")

    def end(self, r, how):
        if self.runs.get(r.task) is not r:
            return
        r.timer.cancel()
        del self.runs[r.task]
        self.seq += 1
        self.ended_runs[r.task] = max(self.ended_runs.get(r.task, 0), r.run)
        self.finished.append([self.seq, r.task, r.run, how, r.saved])
        self.world.ended(self, r, how, self.seq)
        self.event.set()
        self.event = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        b = json.loads(body) if body else {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if path == "/cranberrydock/run-start":
            return self.start_run(b)
        if path == "/cranberrydock/run-stop":
            return self.stop_run(b)
        if path == "/cranberrydock/hold":
            if b.get("fencingToken", 0) < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = max(self.fence, b.get("fencingToken", 0))
            self.extend(b)
            ack = b.get("ackSeq", 0)
            noted = [f for f in self.finished if f[0] <= ack]
            self.finished = [f for f in self.finished if f[0] > ack]
            for f in noted:
                self.world.noted(self, f)
            wait = min(2000, b.get("waitMs", 0)) / 1000
            if wait and not self.finished:
                try:
                    await asyncio.wait_for(self.event.wait(), wait)
                except TimeoutError:
                    pass
            if not self.up:
                return None
            running = [[r.task, r.run, r.saved, 100, 500] for r in self.runs.values()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                         "finished": self.finished[:500]}
        return 404, {}

    def extend(self, b):
        if b.get("deadlineMs"):
            self.lease = max(self.lease, min(b["deadlineMs"], self.clock() + 6000))

    def start_run(self, b):
        c = {"clockMs": self.clock(), "born": self.born}
        task, run = b["task"], b["run"]
        if b.get("fencingToken", 0) < self.fence:
            return 409, dict(c, reason="fence")
        self.fence = max(self.fence, b.get("fencingToken", 0))
        if b["deadlineMs"] <= self.clock():
            return 409, dict(c, reason="late")
        self.extend(b)
        if task in self.runs and self.runs[task].run == run:
            return 200, c
        if run <= self.ended_runs.get(task, 0) or task in self.runs:
            return 409, dict(c, reason="old")
        r = Run(task, run, b["spec"], now_ms())
        seconds, how = self.world.plan(task, run)
        self.runs[task] = r
        r.timer = asyncio.get_running_loop().call_later(seconds, self.end, r, how)
        self.world.began(self, r, b)
        return 200, c

    def stop_run(self, b):
        c = {"clockMs": self.clock(), "born": self.born}
        task, run = b["task"], b["run"]
        if b.get("fencingToken", 0) < self.fence:
            return 409, dict(c, reason="fence")
        self.fence = max(self.fence, b.get("fencingToken", 0))
        r = self.runs.get(task)
        if r and r.run <= run:
            asyncio.get_running_loop().call_later(0.1, self.end, r, "stopped")
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        return 200, c


# -- the deployment

class World:
    def __init__(self, folder, record, daemons=3, runners=8, config=None, zones=("za", "zb", "zc")):
        self.folder, self.record = folder, record
        self.store = Store(NET + ".0.1")
        self.zones = zones
        self.runners = [Runner(self, i, zones[i % len(zones)]) for i in range(runners)]
        self.n = daemons
        self.procs = [None] * daemons
        self.ports = []
        self.log = []          # (task, run, runner, start, end, how, noted)
        self.open = {}
        self.by_end = {}
        self.breaks = []
        self.steps = {}        # job -> list of (seconds, how)
        self.config = config or {}

    def plan(self, task, run):
        job, k, step, index = task.split(".")
        p = self.steps[job]
        return p(int(k), int(step), int(index), run) if callable(p) else p

    def broken(self, rule, *words):
        self.breaks.append((rule, " ".join(str(w) for w in words)))
        self.record("BROKEN", rule, *words)

    def began(self, runner, r, body):
        e = {"task": r.task, "run": r.run, "runner": runner.id, "start": now_ms(), "end": None,
             "how": None, "noted": None, "fence": body.get("fencingToken")}
        self.record("start", r.task, "run", r.run, "on", runner.id, "fence", e["fence"])
        for other in self.log:
            if other["task"] != r.task:
                continue
            if other["end"] is None:
                self.broken("TWICE", r.task, "run", r.run, "on", runner.id, "beside run", other["run"], "on", other["runner"])
            elif other["how"] == "done":
                e["after_done"] = True
        self.log.append(e)
        self.open[(runner.id, r.task, r.run)] = e

    def ended(self, runner, r, how, seq=0):
        e = self.open.pop((runner.id, r.task, r.run))
        e["end"], e["how"] = now_ms(), how
        self.by_end[(runner.id, runner.born, seq)] = e
        self.record("end", r.task, "run", r.run, "on", runner.id, how)

    def noted(self, runner, f):
        e = self.by_end.get((runner.id, runner.born, f[0]))
        if e and e["noted"] is None:
            e["noted"] = now_ms()
            self.record("noted", f[1], "run", f[2], f[3])

    def check_done_twice(self):
        done = {}
        for e in self.log:
            if e["how"] == "done" and e["noted"] is not None:
                done[e["task"]] = min(done.get(e["task"], 1 << 60), e["end"])
        for e in self.log:
            if e["task"] in done and e["start"] > done[e["task"]]:
                self.broken("TWICE", e["task"], "run", e["run"], "started after its end `done` at", done[e["task"]])

    def settings(self, i):
        host = "%s.2.%d" % (NET, i + 1)
        p = [free_port(host) for _ in range(4)]
        self.ports.append((host, p))
        return {
            "nodeName": "edge-%d" % i, "role": "member", "machineClass": "edge", "serves": ["edge"],
            "ip": host, "zone": self.zones[i % len(self.zones)], "region": "r",
            "zones": {z: "r" for z in self.zones},
            "listenAddrs": {"frontend": "%s:%d" % (host, p[0]), "readiness": "%s:%d" % (host, p[1]),
                            "control": "%s:%d" % (host, p[2])},
            "portRange": [p[3], p[3] + 1], "seeds": [], "bootstrap": True, "inFailureBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
                       "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
                       "rollbackSlackMs": 250, "maxStretchMs": 6000, "revokeStrict": False, "revokeMs": 5000,
                       "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "recoveryS": 12,
                       "holdMaxMs": 6000, "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 2,
                       "checkpointIntervalS": 1, "restoreMs": 600, "noticeMs": 5500, "moveS": 1.5,
                       "maintenanceS": 2, "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300,
                       "paceMs": 100, "harmMs": 4000},
            "controlMode": "call", "advice": "",
            "platform": {"address": self.store.address, "form": "table", "writesPerS": 600, "readsPerS": 2000,
                         "txMs": 6.0, "partWritesPerS": 200, "rowBytes": 65536, "crossPartition": False,
                         "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0},
            "cloud": {"address": NET + ".0.1:9", "ratePerS": 60.0, "duties": [], "dutyPerS": 60.0}}

    def manifest(self, version=1, **changes):
        m = {"version": version,
             "routes": [{"name": "q0", "host": "h.example", "prefix": "/q0/", "service": "work", "priority": 0,
                         "maxAttempts": 3, "slackFactor": 2.0, "targetLatencyMs": 600},
                        {"name": "q1", "host": "h.example", "prefix": "/q1/", "service": "work", "priority": 1,
                         "maxAttempts": 3, "slackFactor": 2.0, "targetLatencyMs": 3000}],
             "services": [{"name": "work", "enforceCapacity": False}],
             "limits": {"maxBodyBytes": 262144},
             "tenants": [{"name": "t%d" % i, "apiKeys": ["k%d" % i], "weight": 100.0,
                          "upperBound": {"cpu": 0, "memMb": 0, "gpu": 0}} for i in range(2)]}
        m.update(self.config)
        m.update(changes)
        return m

    async def begin(self):
        await self.store.start()
        self.store.put("op", "config", self.manifest())
        for r in self.runners:
            await r.start()
        for i in range(self.n):
            with open("%s/node%d.json" % (self.folder, i), "w") as out:
                json.dump(self.settings(i), out)
            self.spawn(i)
        end = time.monotonic() + 20
        for i in range(self.n):
            host, p = self.ports[i]
            while time.monotonic() < end:
                a = await request("%s:%d" % (host, p[1]), "GET", "/cranberrydock/readyz")
                if a and a[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("a daemon isn't ready")

    def spawn(self, i):
        log = open("%s/node%d.log" % (self.folder, i), "a")
        env = {"PATH": os.environ["PATH"], "CRANBERRYDOCK_CONFIG": "%s/node%d.json" % (self.folder, i)}
        self.procs[i] = subprocess.Popen(["target/bin/cranberrydock", "--platform=shared"], env=env,
                                         stdout=log, stderr=log)
        self.record("daemon", i, "starts")

    def add_daemon(self):
        """A new machine at another address."""
        i = self.n
        with open("%s/node%d.json" % (self.folder, i), "w") as out:
            json.dump(self.settings(i), out)
        self.procs.append(None)
        self.n += 1
        self.spawn(i)

    def owner(self):
        """The daemon that last wrote the row `owner` under a condition, by who holds the newest fence."""
        for e in reversed(self.store.log):
            if e[1] == "fleet" and e[3] == "owner" and e[4]:
                value = base64.b64decode(e[4])
                for i in range(self.n):
                    if ("edge-%d" % i).encode() in value:
                        return i
        return 0

    def signal(self, i, sig):
        self.record("signal", sig.name, "to daemon", i)
        self.procs[i].send_signal(sig)
        if sig in (signal.SIGKILL, signal.SIGTERM):
            self.procs[i].wait()

    def kill(self, i):
        self.signal(i, signal.SIGKILL)

    def front(self, i):
        host, p = self.ports[i]
        return "%s:%d" % (host, p[0])

    async def call(self, method, path, body=None, daemon=None, timeout=3.0, key="k0"):
        up = [i for i in range(self.n) if self.procs[i].poll() is None]
        i = random.choice(up) if daemon is None else daemon
        return await request(self.front(i), method, path, body,
                             [("Host", "h.example"), ("Authorization", "Bearer " + key),
                              ("X-Deadline-Ms", str(int(timeout * 1000)))], timeout)

    async def submit(self, queue, job, phases, plan, tries=6, key="k0", **more):
        self.steps[job] = plan
        for _ in range(tries):
            a = await self.call("POST", "/%s/%s" % (queue, job), dict({"spec": "s-" + job, "phases": phases}, **more),
                                key=key)
            self.record("submit", job, a and a[0])
            if a and a[0] == 200:
                return now_ms()
            await asyncio.sleep(0.5)
        return None

    async def state(self, queue, job, key="k0"):
        a = await self.call("GET", "/%s/%s" % (queue, job), key=key)
        return (a[0], a[1].get("state")) if a else (None, None)

    async def close(self):
        for p in self.procs:
            if p and p.poll() is None:
                p.kill()
                p.wait()


def new_id(r=random):
    return "%016x" % r.getrandbits(64)


def main(case, folder):
    """Runs `case(world factory, trouble)` and exits as a case does."""
    import sys
    import tempfile
    import traceback
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble", int(trouble))
    worlds = []

    async def run(scratch):
        def make(**settings):
            worlds.append(World(scratch, record, **settings))
            return worlds[-1]
        try:
            return await asyncio.wait_for(case(make, trouble), 115)
        finally:
            for it in worlds:
                await it.close()

    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(run(scratch))
        except Exception:
            record("couldn't run:", traceback.format_exc())
            sys.exit(2)
    record("broken" if broken else "held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
