"""The platform's metadata store: rows, conditional transactions and feeds (PROTOCOL.md)."""

import asyncio
import base64
import time

from http_io import Server

READ_LIMIT = 500
TRANSACTION_S = 0.006  # time per transaction of one part
HISTORY_S = 20.0


class Store:
    def __init__(self, row_bytes=65536):
        self.rows = {}  # (table, part, key) -> (base64 value, version)
        self.changes = {}  # table -> list of (time, version, row id)
        self.version = 1
        self.row_bytes = row_bytes
        self.history_gone = {}  # table -> the newest version that feeds can't deliver any more
        self.part_free_at = {}
        self.waiting = []  # futures of open feeds
        self.server = Server(self.handle)
        self.rejected = 0

    async def listen(self, host):
        return await self.server.listen(host)

    def row_json(self, row):
        out = {"table": row[0], "part": row[1], "key": row[2], "ver": 0}
        if row in self.rows:
            out["value"], out["ver"] = self.rows[row]
        return out

    def apply(self, puts, removals):
        self.version += 1
        now = time.monotonic()
        for row, value in puts:
            self.rows[row] = (value, self.version)
            self.changes.setdefault(row[0], []).append((now, self.version, row))
        for row in removals:
            if self.rows.pop(row, None) is not None:
                self.changes.setdefault(row[0], []).append((now, self.version, row))

    def wake_feeds(self):
        waiting, self.waiting = self.waiting, []
        for it in waiting:
            if not it.done():
                it.set_result(None)

    async def put_as_platform(self, table, key, text):
        self.apply([((table, "", key), base64.b64encode(text.encode()).decode())], [])
        self.wake_feeds()

    async def remove_as_platform(self, table, key):
        self.apply([], [(table, "", key)])
        self.wake_feeds()

    async def handle(self, request):
        if request.path == "/cranberrydock/rows-tx":
            return await self.transaction(request.json())
        if request.path == "/cranberrydock/rows-get":
            return self.read(request.query)
        if request.path == "/cranberrydock/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def transaction(self, body):
        def row_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        conditions = [(row_of(it), it.get("ver", 0)) for it in body.get("precondition", [])]
        puts = [(row_of(it), it["value"]) for it in body.get("puts", [])]
        removals = [row_of(it) for it in body.get("remove", [])]
        touched = [it[0] for it in conditions] + [it[0] for it in puts] + removals
        if any(it[0] in ("op", "servers") for it in [p[0] for p in puts] + removals):
            return 403, {}
        too_large = any(len(value) > (self.row_bytes + 2) // 3 * 4 for _, value in puts)
        if too_large or len(touched) > 100 or len({it[1] for it in touched}) > 1:
            self.rejected += 1
            return 400, {}
        part = touched[0][1] if touched else ""
        now = time.monotonic()
        start = max(now, self.part_free_at.get(part, 0.0))
        if start - now > 1.0:
            return 429, {}
        self.part_free_at[part] = start + TRANSACTION_S
        await asyncio.sleep(start + TRANSACTION_S - now)
        if any(self.rows.get(row, ("", 0))[1] != version for row, version in conditions):
            return 412, {
                "rows": [self.row_json(row) for row, _ in conditions],
                "ver": self.version,
                "nowMs": self.now_ms(),
            }
        self.apply(puts, removals)
        version = self.version
        self.wake_feeds()
        return 200, {"ver": version, "nowMs": self.now_ms()}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", READ_LIMIT)), READ_LIMIT)
        found = sorted(
            row
            for row in self.rows
            if row[0] == table
            and row[1] == part
            and row[2] >= first
            and (last is None or row[2] < last)
        )
        out, size = [], 0
        for row in found[:limit]:
            size += len(self.rows[row][0])
            if out and size > 1_000_000:
                break
            out.append(self.row_json(row))
        return 200, {
            "rows": out,
            "hasMore": len(out) < len(found),
            "ver": self.version,
            "nowMs": self.now_ms(),
        }

    async def feed(self, query):
        table, after = query["table"], int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        while True:
            changes = self.changes.setdefault(table, [])
            while changes and time.monotonic() - changes[0][0] > HISTORY_S:
                self.history_gone[table] = changes.pop(0)[1]
            if after < self.history_gone.get(table, 0):
                return 410, {"ver": self.version, "nowMs": self.now_ms()}
            new = [it for it in changes if it[1] > after]
            if new:
                out = []
                seen = set()
                for _, _, row in new:
                    if row in seen:
                        continue
                    seen.add(row)
                    entry = self.row_json(row)
                    if row not in self.rows:
                        entry["deleted"] = True
                        entry["ver"] = max(it[1] for it in new if it[2] == row)
                    out.append(entry)
                out.sort(key=lambda it: it["ver"])
                return 200, {"rows": out, "ver": self.version, "nowMs": self.now_ms()}
            left = until - time.monotonic()
            if left <= 0:
                return 200, {"rows": [], "ver": max(after, self.version), "nowMs": self.now_ms()}
            changed = asyncio.get_running_loop().create_future()
            self.waiting.append(changed)
            await asyncio.wait([changed], timeout=left)
