"""Stand-ins for the users' platform, in one asyncio process: the store, worker runners, and a client.

Written from PROTOCOL.md. The daemons under test are separate processes, started with the command of
deploy/system.toml. Everything listens on 127.0.0.1 and uses the real clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"

# The bounds of a small deployment (DEPLOY.md).
BOUNDS = {
    "contactMs": 4000, "ackMs": 5000, "drainMs": 3000, "graceS": 6, "configApplyMs": 3000,
    "holdMaxMs": 6000, "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "leaseMs": 3000, "noticeMs": 5500,
    "checkpointIntervalS": 1, "restoreMs": 600, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
    "recoveryS": 12, "maxStretchMs": 6000, "rollbackSlackMs": 250, "lossSlackMs": 200,
    "revokeMs": 5000, "fencingEnforced": False,
}
ROW_BYTES = 65536
MAX_ENDS_IN_ANSWER = 500
HEARTBEAT_S = 1.5
STOP_S = 0.1
PEER_PORTS = 16  # of `portRange`
LOWEST_PORT = 10000
HIGHEST_PORT = 32000


class Record:
    """The events of one case, with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# HTTP/1.1 with bodies of known length, which is all that the two sides send.

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves one listener. `handle` returns (status, object), or None to leave a call unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.channels = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=4 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return f"{HOST}:{self.port}"

    def stop(self):
        """Closes the listener and all channels, as the end of a process does."""
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # A channel on which an answer is lost delivers nothing further.
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a channel of its own. Returns (status, object), or (None, reason).

    `body` is encoded as JSON, unless it is bytes already.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            first, _, content = await read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(content or b"{}")
            except ValueError:
                return status, {}
    except TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"channel broken: {error}"
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows in tables, transactions and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}     # (table, part, key) -> (value, ver)
        self.removed = {}  # (table, part, key) -> ver
        self.ver = 0
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        # Decides what happens to a write: None, or the seconds after which it is applied without an
        # answer ("answers of the platform's store are lost").
        self.lose_write = lambda transaction: None

    def put(self, table, part, key, value):
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        self.removed.pop((table, part, key), None)

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self.ver += 1
            del self.rows[(table, part, key)]
            self.removed[(table, part, key)] = self.ver

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write_row(self, table, key, content):
        """A write of the operator or of a runner."""
        self.put(table, "", key, base64.b64encode(json.dumps(content).encode()).decode())
        await self.notify()

    async def remove_row(self, table, key):
        self.remove(table, "", key)
        await self.notify()

    def row(self, address):
        table, part, key = address
        value, ver = self.rows.get(address, ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    @staticmethod
    def address_of(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/cranberrydock/rows-tx":
            return await self.transact(json.loads(body))
        if url.path == "/cranberrydock/rows-get":
            return self.read(query)
        if url.path == "/cranberrydock/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, transaction):
        await asyncio.sleep(0.004)
        entries = transaction.get("puts", [])
        for entry in entries:
            if len(base64.b64decode(entry["value"])) > ROW_BYTES:
                self.record(f"store: rejects a row of more than {ROW_BYTES} bytes: "
                            f"{entry['table']}/{entry['key']}")
                return 400, {"error": "row too large"}
            if entry["table"] in ("op", "servers"):
                return 403, {}
        delay = self.lose_write(transaction)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self.apply_late, transaction)
            return None
        return await self.apply(transaction)

    def apply_late(self, transaction):
        async def run():
            status, _ = await self.apply(transaction)
            self.record(f"store: a write whose answer was lost is performed now: status {status}")
        asyncio.ensure_future(run())

    async def apply(self, transaction):
        conditions = transaction.get("precondition", [])
        if any(self.row(self.address_of(it))["ver"] != it["ver"] for it in conditions):
            return 412, {"rows": [self.row(self.address_of(it)) for it in conditions],
                         "ver": self.ver, "nowMs": int(time.monotonic() * 1000)}
        self.ver += 1
        for it in transaction.get("puts", []):
            self.rows[self.address_of(it)] = (it["value"], self.ver)
            self.removed.pop(self.address_of(it), None)
        for it in transaction.get("remove", []):
            if self.rows.pop(self.address_of(it), None):
                self.removed[self.address_of(it)] = self.ver
        await self.notify()
        return 200, {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def read(self, query):
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(it for it in self.rows
                       if it[0] == query["table"] and it[1] == query.get("part", "")
                       and it[2] >= first and (last is None or it[2] < last))
        return 200, {"rows": [self.row(it) for it in found[:limit]], "hasMore": len(found) > limit,
                     "ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = [(ver, self.row(it)) for it, (_, ver) in self.rows.items()
                     if it[0] == table and ver > after]
            found += [(ver, {"table": it[0], "part": it[1], "key": it[2], "ver": ver,
                             "deleted": True})
                      for it, ver in self.removed.items() if it[0] == table and ver > after]
            left = deadline - time.monotonic()
            if found or left <= 0:
                found.sort(key=lambda it: it[0])
                return 200, {"rows": [it[1] for it in found], "ver": self.ver,
                             "nowMs": int(time.monotonic() * 1000)}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass


class Run:
    def __init__(self, task, number):
        self.task = task
        self.number = number
        self.started = time.monotonic()
        self.ends = None  # asyncio handle of the planned end
        self.stopping = False


class Runner:
    """One worker machine's runner. Its capacity is not guarded (`enforceCapacity` false).

    `behaviour(task, spec)` returns (seconds, how): how long a run works and how it then ends.
    """

    def __init__(self, site, name, zone, kind, rack, behaviour):
        self.site = site
        self.id = name
        self.zone = zone
        self.rack = rack
        self.behaviour = behaviour
        self.server = HttpServer(self.handle)
        self.silent = False  # cut off: receives nothing, sends nothing, and works on
        self.heartbeat = None
        self.begin_life(kind)

    def begin_life(self, kind):
        """Starts an incarnation, which knows nothing of earlier ones."""
        self.kind = kind
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.token = 0
        self.seq = 0
        self.lease = 0
        self.runs = {}          # (task, run) -> Run
        self.ended_run = {}     # task -> the highest run that was stopped or has ended
        self.finished = []      # ends that have not been acknowledged
        self.acknowledged = 0
        self.last_end = 0
        self.end_listed = asyncio.Event()
        self.lease_timer = None

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def start(self, port=0):
        await self.server.start(port)
        self.heartbeat = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"service": "work", "address": self.server.address(), "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
                "labels": [self.kind, self.rack], "clockMs": self.clock(), "born": self.born,
                "seq": self.seq}

    async def beat(self):
        while True:
            if not self.silent:
                self.seq += 1
                self.last_beat = self.site.record.now()
                await self.site.store.write_row("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process ends: everything that runs is gone."""
        self.site.record(f"{self.id}: crashes with {len(self.runs)} runs")
        self.heartbeat.cancel()
        for run in self.runs.values():
            run.ends.cancel()
            self.site.run_over(self, run, "lost with its runner")
        self.runs = {}
        if self.lease_timer:
            self.lease_timer.cancel()
        self.server.stop()

    # The calls of PROTOCOL.md, "Running tasks".

    async def handle(self, method, target, headers, body):
        if self.silent:
            return None
        if target == "/healthz":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call_body = json.loads(body)
        token = call_body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/cranberrydock/run-start":
            return self.run_start(call_body)
        if target == "/cranberrydock/run-stop":
            return self.run_stop(call_body)
        if target == "/cranberrydock/hold":
            return await self.hold(call_body)
        return 404, {}

    def extend_lease(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS["holdMaxMs"]))
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(0, self.lease - self.clock()) / 1000, self.lapse)

    def lapse(self):
        if self.lease > self.clock():
            self.extend_lease(self.lease)
            return
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if (task, number) in self.runs:
            self.extend_lease(order["deadlineMs"])
            return 200, {"clockMs": self.clock()}
        if number <= self.ended_run.get(task, 0):
            self.extend_lease(order["deadlineMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if order["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend_lease(order["deadlineMs"])
        run = Run(task, number)
        seconds, how = self.behaviour(task, order["spec"])
        run.ends = asyncio.get_running_loop().call_later(seconds, self.end, run, how)
        self.runs[(task, number)] = run
        self.site.run_begins(self, run)
        return 200, {"clockMs": self.clock()}

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        run.ends.cancel()
        self.last_end += 1
        self.ended_run[run.task] = max(self.ended_run.get(run.task, 0), run.number)
        self.finished.append([self.last_end, run.task, run.number, how, ""])
        self.site.run_over(self, run, how)
        self.end_listed.set()

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.ended_run[task] = max(self.ended_run.get(task, 0), number)
        run = self.runs.get((task, number))
        if run and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, order):
        acknowledged = min(order.get("ackSeq", 0), self.last_end)
        if acknowledged > self.acknowledged:
            self.acknowledged = acknowledged
            self.finished = [it for it in self.finished if it[0] > acknowledged]
        if "deadlineMs" in order:
            self.extend_lease(order["deadlineMs"])
        wait = order.get("waitMs", 0) / 1000
        if wait > 0 and not self.finished:
            self.end_listed.clear()
            try:
                await asyncio.wait_for(self.end_listed.wait(), wait)
            except TimeoutError:
                pass
        if self.silent:
            return None
        running = [[run.task, run.number, "", min(99, int(10 * (time.monotonic() - run.started)))]
                   for run in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "finished": self.finished[:MAX_ENDS_IN_ANSWER]}


class Daemon:
    """One process of the project, started as the deploy file says."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        first = free_ports(PEER_PORTS + 3)
        ports = range(first + PEER_PORTS, first + PEER_PORTS + 3)
        self.frontend = f"{HOST}:{ports[0]}"
        self.settings = {
            "nodeName": name, "role": "member", "machineClass": "edge", "serves": ["edge"],
            "ip": HOST, "zone": zone, "region": "north", "zones": {"north-a": "north"},
            "listenAddrs": {"frontend": self.frontend, "readiness": f"{HOST}:{ports[1]}",
                            "control": f"{HOST}:{ports[2]}"},
            "portRange": [first, first + PEER_PORTS - 1], "seeds": [], "bootstrap": True,
            "inFailureBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "recover", "sched", "tenants", "quota",
                          "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "controlMode": "call",
            "platform": {"address": site.store.server.address(), "form": "table",
                         "writesPerS": 600, "readsPerS": 2000, "txMs": 6.0, "partWritesPerS": 200,
                         "rowBytes": ROW_BYTES, "crossPartition": False, "historyS": 20},
        }
        self.process = None

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["member"]["run"].split()
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "CRANBERRYDOCK_CONFIG": path})

    def send(self, number):
        self.site.record(f"{self.name}: receives {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        status, _ = await call(self.settings["listenAddrs"]["readiness"], "GET",
                               "/cranberrydock/readyz", timeout=1)
        return status == 200


def free_ports(count):
    """The first of `count` free ports in a row.

    They lie below the range from which the system takes the ports of outgoing connections, and blocks
    are drawn at random, so that cases that run side by side rarely draw the same one.
    """
    for _ in range(1000):
        first = LOWEST_PORT + random.randrange((HIGHEST_PORT - LOWEST_PORT) // count) * count
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind((HOST, port))
            return first
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise RuntimeError("no free range of ports")


class Site:
    """A small deployment: a store, runners and daemons, and one queue with two tenants."""

    PREFIX = "/jobs/"

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.runners = []
        self.daemons = []
        self.active = {}       # task -> {(runner id, run)} that run now
        self.overlaps = []     # (task, first runner, second runner): two runs at the same time
        self.starts = []       # (time, task, run, runner id, kind)
        self.ends = []         # (time, task, run, runner id, how)
        self.verbose_runs = True

    def run_begins(self, runner, run):
        now = self.record.now()
        self.starts.append((now, run.task, run.number, runner.id, runner.kind))
        if self.verbose_runs:
            self.record(f"{runner.id}: starts {run.task} run {run.number}")
        others = self.active.setdefault(run.task, set())
        for other, number in others:
            self.overlaps.append((now, run.task, other, number, runner.id, run.number))
            self.record(f"TWO RUNS of {run.task}: run {number} on {other} works on, run "
                        f"{run.number} starts on {runner.id}")
        others.add((runner.id, run.number))

    def run_over(self, runner, run, how):
        self.ends.append((self.record.now(), run.task, run.number, runner.id, how))
        if self.verbose_runs:
            self.record(f"{runner.id}: {run.task} run {run.number} ends: {how}")
        self.active.get(run.task, set()).discard((runner.id, run.number))

    async def write_manifest(self, version=1):
        route = {"name": "r-work", "host": "work.example", "prefix": self.PREFIX,
                 "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3000,
                 "priority": 1, "service": "work", "maxAttempts": 3, "slackFactor": 4.0,
                 "anonymous": False}
        await self.store.write_row("op", "config", {
            "version": version, "routes": [route],
            "services": [{"name": "work", "healthPath": "/healthz", "maxConns": 64,
                          "enforceCapacity": False}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": f"t-{n}", "apiKeys": [f"key-{n}"], "weight": 100,
                         "upperBound": {"cpu": 0, "memMb": 0, "gpu": 0}} for n in (1, 2)]})

    async def start(self, daemons, runners, behaviour, kinds=("a",)):
        await self.store.server.start()
        await self.write_manifest()
        for n in range(runners):
            runner = Runner(self, f"i-{n:04x}", "north-a", kinds[n % len(kinds)], f"r1-{n // 4}",
                            behaviour)
            self.runners.append(runner)
            await runner.start()
        for n in range(daemons):
            self.daemons.append(Daemon(self, f"edge-north-a-{n + 1}", "north-a"))
            await self.daemons[-1].start()
        deadline = time.monotonic() + 20
        while not all([await it.ready() for it in self.daemons]):
            for n, it in enumerate(self.daemons):
                if it.process.returncode is not None:
                    # Another program took one of its ports before it could listen.
                    self.record(f"{it.name}: did not start, starts again with other ports")
                    self.daemons[n] = Daemon(self, it.name, "north-a")
                    await self.daemons[n].start()
            if time.monotonic() > deadline:
                raise RuntimeError("the daemons did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        self.record("all daemons are ready")

    def owner(self):
        """The daemon that wrote the owner's row last, from the daemons' own log lines."""
        found = (0, None)
        for it in self.daemons:
            with open(os.path.join(self.folder, it.name + ".log"), encoding="utf-8",
                      errors="replace") as log:
                for line in log:
                    if "event=owner_begins fence=" in line:
                        token = int(line.split("event=owner_begins fence=")[1].split()[0])
                        found = max(found, (token, it.name))
        return next(it for it in self.daemons if it.name == found[1])

    @staticmethod
    def headers(tenant, timeout=3.0):
        return {"Host": "work.example", "Authorization": f"Bearer key-{tenant}",
                "X-Deadline-Ms": int(timeout * 1000)}

    async def submit(self, daemon, job, phases, tenant=1, timeout=3.0):
        status, answer = await call(
            daemon.frontend, "POST", self.PREFIX + job, {"spec": "work", "phases": phases},
            self.headers(tenant, timeout), timeout)
        self.record(f"client: POST {job} at {daemon.name}: {status} {answer if status is None else ''}")
        return status

    async def state(self, daemon, job, quiet=False):
        status, answer = await call(daemon.frontend, "GET", self.PREFIX + job, None,
                                    self.headers(1), 3.0)
        if not quiet:
            self.record(f"client: GET {job} at {daemon.name}: {status} {answer}")
        return status, answer.get("state") if status == 200 else None

    async def cancel(self, daemon, job):
        status, _ = await call(daemon.frontend, "DELETE", self.PREFIX + job, None,
                               self.headers(1), 3.0)
        self.record(f"client: DELETE {job} at {daemon.name}: {status}")
        return status

    async def close(self):
        for it in self.daemons:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, file):
    """Runs `case(site, trouble)`, which returns whether the rule held, and exits as the issue says:
    0 if it held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(os.path.dirname(os.path.abspath(file)))
        site.record(f"trouble: {trouble}")
        try:
            async with asyncio.timeout(115):
                held = await case(site, trouble)
            site.record("RESULT: the rule held" if held else "RESULT: the rule was broken")
            return 0 if held else 1
        except Exception as error:  # any failure of the case itself
            site.record(f"RESULT: the case could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await site.close()

    sys.exit(asyncio.run(run()))
