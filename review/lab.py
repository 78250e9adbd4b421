"""Stand-ins on loopback for cases of the review: the platform's store, engines, clients, and gateway processes."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time

START = time.monotonic()
# Ends through the `finally` clauses, which end the gateways.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
GIVEN = set()


def free_port():
    for _ in range(2000):
        port = random.randrange(20000, 32000)
        if port in GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN.add(port)
        return port
    raise RuntimeError("no free port")


class Record:
    """Writes what was sent, answered and run to record.txt, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{time.monotonic() - START:9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def response(status, body=b"", headers=None, reason="X"):
    text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


async def read_message(reader):
    """Returns (first line, headers with names in lower case, body); None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(*message, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self):
        self.revision, self.objects, self.events, self.waiting = 1, {}, [], set()

    def put(self, kind, name, spec, revision=None):
        known = self.objects.get((kind, name))
        if revision is not None and (known["metadata"]["revision"] if known else 0) != revision:
            return None
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "made": 1, "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self._note(kind, {"gone": False, "object": item})
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            self._note(kind, {"gone": True, "object": item})

    def _note(self, kind, event):
        self.events.append((self.revision, kind, event))
        for future in self.waiting:
            if not future.done():
                future.set_result(None)

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(item.split("=") for item in query.split("&")) if query else {}
        words = path.strip("/").split("/")[1:]
        if method == "GET" and "watch" in arguments:
            since, until = int(arguments["watch"]), time.monotonic() + int(arguments["wait_ms"]) / 1000

            def found():
                return [event for revision, kind, event in self.events if kind == words[0] and revision > since]
            while not found() and time.monotonic() < until:
                future = asyncio.get_running_loop().create_future()
                self.waiting.add(future)
                await asyncio.wait([future], timeout=max(0.001, until - time.monotonic()))
                self.waiting.discard(future)
            writer.write(response(200, json.dumps({"events": found(), "at": self.revision}).encode()))
        elif method == "GET" and len(words) == 2:
            item = self.objects.get(tuple(words))
            writer.write(response(200, json.dumps(item).encode()) if item else response(404))
        elif method == "GET":
            items = [item for (kind, _), item in sorted(self.objects.items()) if kind == words[0]]
            writer.write(response(200, json.dumps({"items": items, "more": False, "at": self.revision}).encode()))
        else:
            data = json.loads(body)
            revision = 0 if method == "POST" else data["metadata"].get("revision")
            item = self.put(words[0], data["metadata"]["name"], data["spec"], revision)
            writer.write(response(200, json.dumps(item).encode()) if item else response(409, b"{}"))
        return True


class Gateway:
    def __init__(self, program, folder, name, zone, store_port, seeds, zones=("a", "b", "c"), slack=54):
        self.program, self.name = program, name
        self.client, self.ready, self.peer, self.metrics = free_port(), free_port(), free_port(), free_port()
        self.path = os.path.join(folder, f"{name}.toml")
        self.log_path = os.path.join(folder, f"{name}.log")
        # As deploy/gateway.toml.in is filled for a small deployment.
        self.settings = (
            f'node_name = "{name}"\nzone = "{zone}"\nclient_listen = "127.0.0.1:{self.client}"\n'
            f'ready_listen = "127.0.0.1:{self.ready}"\nmetrics_listen = "127.0.0.1:{self.metrics}"\n'
            f'peer_listen = "127.0.0.1:{self.peer}"\npeer_seeds = {json.dumps(seeds)}\n'
            f'store_address = "127.0.0.1:{store_port}"\nfirst_start = true\nlink_mbps = 1000.0\n'
            f"[bounds]\ngrace_s = 8\nlease_ms = 3000\nretry_budget_ratio = 0.2\nretry_budget_slack = {slack}\n"
            f"retry_window_s = 10\n" + "".join(f'[[zones]]\nname = "{z}"\nregion = "r"\n' for z in zones))
        self.process = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.settings)
        environment = {"PATH": os.environ["PATH"], "SALTQUAY_SETTINGS": self.path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.program], stdout=log, stderr=subprocess.STDOUT, env=environment)

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def read_answer(reader):
    """Returns (status, headers, body, complete)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    status, body = int(lines[0].split(" ")[1]), b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            try:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += (await reader.readexactly(size + 2))[:size]
            except (asyncio.IncompleteReadError, ConnectionError):
                return status, headers, body, False
            if size == 0:
                return status, headers, body, True
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, body, False
    return status, headers, body, True
