"""A small HTTP/1.1 server and client on asyncio, for loopback stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.body = body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """Reads one request or response. Returns (first line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """Calls `handle(request)`, which returns (status, JSON value), or None to send no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=4 << 20, backlog=256)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def close(self):
        """Closes the listener and all its connections, as the end of the process would."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, JSON value), or None without an
    answer."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=4 << 20)
        data = json.dumps(body).encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
        fields.update(headers or {})
        if body is not None or method == "POST":
            fields["Content-Length"] = str(len(data))
        lines += ["%s: %s" % it for it in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        line, _, answer = await read_message(reader)
        return int(line.split(" ")[1]), json.loads(answer) if answer else None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
