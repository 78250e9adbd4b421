"""Stand-ins of the tests of streams: engines of several software versions that break off streams, and their clients."""

import asyncio
import json
import time

from soak_standins import Server, response

EVENTS = 8
GAP_S = 0.01
FRAMINGS = ("chunked", "length", "connection end")


class StreamEngine(Server):
    """Engine that names its software version in each event. It breaks off a share `breaks` of its streams, inside an
    event or before the first one, and ends their framing in the way `framing`: one of FRAMINGS properly, or "cut":
    without the last chunk."""

    def __init__(self, identity, stage, version, rng):
        self.identity, self.stage, self.version, self.rng = identity, stage, version, rng
        self.breaks, self.framing, self.handles, self.connections = 0.0, "chunked", set(), set()
        self.born = int(time.time() * 1000)

    def record(self, state="ready"):
        spec = {"service": "model", "address": f"127.0.0.1:{self.port}", "zone": "a", "slots": 64, "state": state,
                "sequence": 0, "version": self.version, "born": self.born}
        return {**spec, "stage": self.stage} if self.stage else spec

    def restart(self, version):
        """Starts again under the same id with another software version; all connections are reset."""
        self.version, self.born = version, int(time.time() * 1000)
        self.handles.clear()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if headers.get("x-expect-instance", self.identity) != self.identity:
            writer.write(response(421))
        elif target == "/report":
            report = {"stage": self.stage, "busy": False, "sequence": 0, "born": self.born}
            writer.write(response(200, json.dumps(report).encode()))
        elif target == "/order":
            writer.write(response(409))
        elif method == "DELETE":
            writer.write(response(200))
        else:
            return await self._request(headers, writer)
        return True

    async def _request(self, headers, writer):
        common = {"X-Request-Id": headers["x-request-id"], "X-Instance-Load": "0,0,64"}
        if headers.get("x-stage") == "prefill":
            handle = f"{self.rng.getrandbits(48):x}"
            self.handles.add(handle)
            body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode()
            writer.write(response(200, body, common))
            return True
        if self.stage == "prefill":
            writer.write(response(421, headers=common))
            return True
        return await self._stream(headers, {**common, "X-Server-Stamp": self.identity}, writer)

    async def _stream(self, headers, fields, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        last = self.rng.randint(first, EVENTS) if self.rng.random() < self.breaks else EVENTS + 1
        framing = "chunked" if self.framing == "cut" else self.framing
        events = [f"id: {n}\ndata: {self.version}\n\n".encode() for n in range(first, EVENTS + 1)]
        broken = last <= EVENTS
        if broken:
            events = events[:last - first + 1]
            events[-1] = events[-1][:self.rng.randrange(last > first, len(events[-1]))]
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        if framing == "chunked":
            head += "Transfer-Encoding: chunked\r\n"
        elif framing == "length":
            head += f"Content-Length: {sum(map(len, events))}\r\n"
        else:
            head += "Connection: close\r\n"
        await asyncio.sleep(2 * GAP_S)
        writer.write(head.encode() + b"\r\n")
        for event in filter(None, events):
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if framing == "chunked" else event)
            await writer.drain()
            await asyncio.sleep(GAP_S)
        if framing == "chunked" and not (broken and self.framing == "cut"):
            writer.write(b"0\r\n\r\n")
        return framing != "connection end" and not (broken and self.framing == "cut")


class Attempt:
    """What a client got in response to one attempt."""

    def __init__(self):
        self.status, self.retry_after, self.events, self.versions, self.complete = None, 0.0, [], set(), False


class StreamClient:
    """Reads one stream, over as many attempts as it takes, and leaves some of them itself. `shared_parts`: those of its
    prompt, like "ab:300,cd:100"."""

    def __init__(self, host, path, tokens, shared_parts=""):
        self.host, self.path, self.tokens = host, path, tokens
        self.shared_parts = f"{shared_parts}," if shared_parts else ""

    async def attempt(self, port, request, position, resumes, leave_after, http10=False):
        """`leave_after`: closes the connection after that many events; None: stays."""
        result = Attempt()
        fields = {"Host": self.host, "X-Request-Id": request, "X-Deadline-Ms": "5000", "Content-Length": "2",
                  "X-Model": "m", "X-Token-Count": f"{self.tokens},8", "X-Prompt-Prefix": f"{self.shared_parts}{request}:{self.tokens}"}
        if position:
            fields.update({"Last-Event-Id": str(position), "Resumes": resumes})
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"POST {self.path} HTTP/{'1.0' if http10 else '1.1'}\r\n{head}\r\nhi".encode())
            await asyncio.wait_for(self._read(reader, result, leave_after), 6)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            pass  # The connection was refused, or broke.
        finally:
            if writer is not None:
                writer.transport.abort()
        return result

    async def _read(self, reader, result, leave_after):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
        result.status = int(head.split(" ")[1])
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        result.retry_after = float(fields.get("retry-after", 0))
        if result.status != 200:
            return
        text = b""
        while True:
            piece, last = await self._read_piece(reader, "chunked" in fields.get("transfer-encoding", ""))
            text += piece
            *events, text = text.split(b"\n\n")
            for event in events:
                number, version = event.decode().split("\n")
                result.events.append(int(number.removeprefix("id: ")))
                result.versions.add(version.removeprefix("data: "))
            if last:
                result.complete = True
                return
            if leave_after is not None and len(result.events) >= leave_after:
                return

    @staticmethod
    async def _read_piece(reader, chunked):
        """Returns bytes of the body, and whether the response has ended."""
        if not chunked:
            piece = await reader.read(65536)
            return piece, not piece
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = (await reader.readexactly(size + 2))[:size]
        return piece, size == 0


class StreamRecord:
    """One stream of a client: its events over all attempts."""

    def __init__(self):
        self.began_at, self.began_as, self.position, self.versions = None, None, 0, set()
        self.errors = []

    def add(self, request, attempt):
        expected = list(range(self.position + 1, self.position + 1 + len(attempt.events)))
        if attempt.events != expected:
            self.errors.append(f"{request}: events {attempt.events} after {self.position}")
        if attempt.events and self.began_as is None:
            self.began_as, self.began_at = request, time.monotonic()
        self.position += len(attempt.events)
        self.versions |= attempt.versions
        if attempt.complete and self.position < EVENTS:
            self.errors.append(f"{request}: complete after event {self.position}")
