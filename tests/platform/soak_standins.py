"""Stand-ins of the soak test on loopback, in one event loop: store, engines, duty platform, fault-injecting proxies."""

import asyncio
import json
import random
import time


async def read_message(reader):
    """Returns (first line, headers in lower case, body), or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
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


def response(status, body=b"", headers=None):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Server:
    """HTTP/1.1 server with kept-alive connections; subclasses define handle(first line, headers, body, writer)."""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(*message, writer):
                    break
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has closed the connection, or the soak test has ended.
        finally:
            writer.close()


class Store(Server):
    """Store of versioned objects with lists, watches and conditional writes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        # Futures of pending watches. Not an asyncio.Condition: cancelled tasks may leave its lock in a bad state.
        self.waiting = set()
        self.responding_since = time.monotonic()  # None while it refuses calls.
        self.history_from = 0  # Watches from an earlier revision get 410.
        self.silence_over = None  # Future of the end of a time in which watches get no response.

    @property
    def available(self):
        return self.responding_since is not None

    def set_available(self, available):
        if available and not self.available:
            self.responding_since = time.monotonic()
        if not available:
            self.responding_since = None

    def has_responded_for(self, seconds):
        return self.available and time.monotonic() - self.responding_since >= seconds

    async def lose_history(self):
        """Gives watches no response for a second, then closes them and forgets the history of changes."""
        self.silence_over = silence_over = asyncio.get_running_loop().create_future()
        await asyncio.sleep(1)
        self.history_from, self.silence_over = self.revision, None
        silence_over.set_result(None)

    async def put(self, kind, name, spec, revision=None):
        stored = self.objects.get((kind, name))
        if revision is not None and (stored["metadata"]["revision"] if stored else 0) != revision:
            return None
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        await self._note(kind, item, False)
        return item

    async def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            await self._note(kind, item, True)

    async def _note(self, kind, item, gone):
        self.events.append((self.revision, kind, {"gone": gone, "object": item}))
        for future in self.waiting:
            if not future.done():
                future.set_result(None)

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(item.split("=") for item in query.split("&")) if query else {}
        words = path.strip("/").split("/")[1:]
        if not self.available:
            writer.write(response(503))
        elif method == "GET" and "watch" in arguments:
            return await self._watch(words[0], int(arguments["watch"]), int(arguments["wait_ms"]) / 1000, writer)
        elif method == "GET" and len(words) == 2:
            item = self.objects.get(tuple(words))
            writer.write(response(200, json.dumps(item).encode()) if item else response(404))
        elif method == "GET":
            items = [item for (kind, _), item in sorted(self.objects.items()) if kind == words[0]]
            writer.write(response(200, json.dumps({"items": items, "more": False, "at": self.revision}).encode()))
        else:
            data = json.loads(body)
            name = data["metadata"]["name"]
            revision = 0 if method == "POST" else data["metadata"].get("revision")
            item = await self.put(words[0], name, data["spec"], revision)
            writer.write(response(200, json.dumps(item).encode()) if item else response(409, b"{}"))
        return True

    async def _watch(self, kind, since, wait, writer):
        def found():
            return [event for revision, event_kind, event in self.events if event_kind == kind and revision > since]

        if since < self.history_from:
            writer.write(response(410))
            return True
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while not found() and loop.time() < until:
            future = loop.create_future()
            self.waiting.add(future)
            await asyncio.wait([future], timeout=until - loop.time())
            self.waiting.discard(future)
        if self.silence_over is not None:
            await asyncio.shield(self.silence_over)
            return False
        writer.write(response(200, json.dumps({"events": found(), "at": self.revision}).encode()))
        return True


class RecordingWriter:
    """Passes bytes on to a connection and keeps them."""

    def __init__(self, writer):
        self.writer, self.sent = writer, b""

    def write(self, data):
        self.sent += data
        self.writer.write(data)

    async def drain(self):
        await self.writer.drain()


class Engine(Server):
    """Engine that runs requests, reports them to the oracle, and accepts fenced orders. `copies`: share of the responses
    that it sends once more, in place of the next response of their connection; `lapses`: share of the handles that
    lapse at once."""

    def __init__(self, identity, service, stage, oracle, rng):
        self.identity, self.service, self.stage, self.oracle, self.rng = identity, service, stage, oracle, rng
        self.incarnation_number, self.failing = 0, 0.0
        self.copies, self.lapses, self.copy_rng = 0.0, 0.0, random.Random(identity)
        self.begin_incarnation()

    def begin_incarnation(self):
        """Starts the engine, or restarts it under the same id without any previous state."""
        self.incarnation_number += 1
        self.sequence, self.fence, self.handles, self.running = 0, (0, ""), set(), 0
        self.born = int(time.time() * 1000)

    def record(self, address, state="ready"):
        spec = {"service": self.service, "address": address, "zone": "a", "slots": 8, "state": state,
                "sequence": self.sequence, "born": self.born}
        if self.stage:
            spec["stage"] = self.stage
        return spec

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if headers.get("x-expect-instance", self.identity) != self.identity:
            writer.write(response(421, headers={"X-Instance-Id": self.identity}))
        elif target == "/report":
            report = {"stage": self.stage, "busy": False, "sequence": self.sequence, "born": self.born}
            writer.write(response(200, json.dumps(report).encode()))
        elif target == "/order":
            writer.write(self._order(json.loads(body)))
        elif method == "DELETE":
            self.handles.discard(target.rsplit("/", 1)[1])
            writer.write(response(200))
        else:
            return await self._respond(headers, body, writer)
        return True

    async def _respond(self, headers, body, writer):
        late = getattr(writer, "late_response", None)
        if late is not None:
            self.oracle.late_responses += 1
            writer.write(late)
        recording = RecordingWriter(writer)
        keeps_connection = await self._request(headers, body, recording)
        writer.late_response = recording.sent if self._chance(self.copies) else None
        return keeps_connection

    def _chance(self, probability):
        return probability > 0 and self.copy_rng.random() < probability

    def _order(self, order):
        token, holder = order["fencing_token"], order["holder"]
        if token < self.fence[0]:
            return response(412)
        if token == self.fence[0] and self.fence[1] not in ("", holder):
            self.oracle.violations.append(f"two holders of token {token}: {self.fence[1]}, {holder}")
        if order["expect_revision"] != self.sequence:
            return response(409)
        self.fence, self.sequence, self.stage = (token, holder), self.sequence + 1, order["stage"]
        asyncio.get_running_loop().create_task(self.oracle.publish_stage_change(self))
        return response(202)

    def statements(self, request):
        """Returns the headers by which the engine states its condition in the response to a request."""
        return {}

    def rest_asked_of(self, request):
        """Returns the seconds of rest that the engine asks for instead of running the request; 0: it runs it."""
        return 0

    async def _request(self, headers, body, writer):
        request = headers["x-request-id"]
        common = {"X-Request-Id": request, "X-Instance-Load": f"{self.running},0,8", **self.statements(request)}
        if rest := self.rest_asked_of(request):
            writer.write(response(503, headers={**common, "X-Not-Executed": "1", "Retry-After": f"{rest}"}))
            return True
        if headers.get("x-stage") == "prefill":
            if self.stage != "prefill":
                writer.write(response(421, headers=common))
                return True
            handle = f"{self.rng.getrandbits(48):x}"
            if not self._chance(self.lapses):
                self.handles.add(handle)
            await asyncio.sleep(0.02)
            writer.write(response(200, json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode(), common))
            return True
        if self.stage == "prefill" or self.running >= 8 or not self.take_handle(headers):
            writer.write(response(503, headers={**common, "X-Not-Executed": "1"}))
            return True
        if body.startswith(b"fatal"):
            self.oracle.fatal(body).runs.append(time.monotonic())
            await asyncio.sleep(0.03)
            await self.oracle.crash_engine(self, body)
            return False
        self.oracle.record_run(request, body)
        self.oracle.check_headers(request, headers)
        self.oracle.record_cost(time.monotonic(), request, headers)
        self.running += 1
        incarnation = self.incarnation_number
        try:
            return await self._run(request, headers, common, writer)
        finally:
            if self.incarnation_number == incarnation:
                self.running -= 1

    def take_handle(self, headers):
        """Consumes the KV cache handle of the request, if it has one; returns whether some engine held it."""
        handle = headers.get("x-kv-source", "").rpartition("/")[2]
        if not handle:
            return True
        for engine in self.oracle.engines:
            if handle in engine.handles:
                engine.handles.discard(handle)
                return True
        return False

    async def _run(self, request, headers, common, writer):
        signed = {**common, "X-Server-Stamp": f"{self.identity}.{request}"}
        fails = self.rng.random() < self.failing
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        if not self.stage:
            if fails:
                return False  # The request ran, but its response is lost.
            writer.write(response(200, f"done {request}".encode(), signed))
            return True
        start = int(headers.get("last-event-id", "0"))
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + "".join(f"{k}: {v}\r\n" for k, v in signed.items())
        writer.write(head.encode() + b"\r\n")
        for number in range(start + 1, 9):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            if fails and number == 5:
                writer.write(f"{len(event):x}\r\n".encode() + event[:7])
                await writer.drain()
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True


class DutyPlatform(Server):
    """Accepts usage reports. Refuses some, leaves some without a response, and checks fencing tokens and contents."""

    def __init__(self, oracle, rng):
        self.oracle, self.rng, self.holders, self.highest, self.reports = oracle, rng, {}, 0, {}

    async def handle(self, line, headers, body, writer):
        chance = self.rng.random()
        if chance < 0.1:
            writer.write(response(429))
            return True
        status = self.accept_report(headers, json.loads(body))
        if chance < 0.2:
            await asyncio.sleep(2)  # The report was accepted, but gets no response.
            return False
        writer.write(response(status))
        return True

    def accept_report(self, headers, report):
        """Processes one report; returns the status of the response."""
        token, holder = int(headers["x-fencing-token"]), headers["x-duty-holder"]
        if self.holders.setdefault(token, holder) != holder:
            self.oracle.violations.append(f"two holders of token {token}: {self.holders[token]}, {holder}")
        if token < self.highest:
            return 409
        self.highest = token
        window, counts = report["window_number"], report["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self.oracle.violations.append(f"window {window}: reported {self.reports[window]}, then {counts}")
        return 200


class Proxy:
    """Forwards bytes to a local port and injects faults: delay, reset, one way, silence. It can also blackhole all open
    connections for good."""

    def __init__(self, target_port):
        self.target_port, self.mode, self.writers = target_port, "pass", set()
        self.blackholed = set()  # Writers of connections that were blackholed for good; new connections work.

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            self.abort_open_connections()

    def silence_open_connections(self):
        self.blackholed |= self.writers

    def abort_open_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def end(self):
        """Behaves like a process that exits: resets its connections and stops listening."""
        self.server.close()
        self.abort_open_connections()

    async def _accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self._pump(reader, up_writer, True), self._pump(up_reader, writer, False))
        except asyncio.CancelledError:
            pass  # The soak test has ended.
        self.writers -= {writer, up_writer}
        self.blackholed -= {writer, up_writer}

    async def _pump(self, reader, writer, forward):
        try:
            while data := await reader.read(65536):
                while self.mode == "silence" or (self.mode == "one way" and not forward):
                    await asyncio.sleep(0.05)
                if writer in self.blackholed:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(random.uniform(0.02, 0.2))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
