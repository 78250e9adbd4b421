"""Stand-ins of the tests of broken responses: an engine that sends them, and the client that judges what arrives."""

import asyncio
import dataclasses
import socket
import struct

from soak_standins import Server, response

RECEIVE_BUFFER_BYTES = 64 * 1024  # Of an engine's connection.
RESET_DELAY_S = 0.05
BODY = b"0123456789" * 120


def socket_buffer_bytes():
    """Returns the most that the socket buffers of a connection's two ends hold by the machine's settings."""
    with open("/proc/sys/net/ipv4/tcp_wmem", encoding="utf-8") as limits:
        return int(limits.read().split()[2]) + RECEIVE_BUFFER_BYTES


# An engine that does not read leaves the gateway in the middle of such a request.
LONG_UPLOAD = b"x" * (socket_buffer_bytes() + (1 << 20))
SHORT_UPLOAD = b"hi"


@dataclasses.dataclass
class Row:
    """A response, and what its client may get. `text`: the response; "{fields}" stands for the fields of the engine.
    `ending`: "reset"; "close"; "keep": the connection serves further requests; "read": an orderly end, the request is
    read on.
    `early`: sent before the engine has read the body of a long request. `whole`: the status of the engine's response if
    it is complete; None: it must not reach the client as complete."""
    text: bytes
    ending: str
    early: bool = False
    whole: int | None = None

    def upload(self):
        return LONG_UPLOAD if self.early else SHORT_UPLOAD


def listening_socket():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    return listener


def reset(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class BrokenEngine(Server):
    """Engine that responds to each request with the response of `row`, and properly while that is None."""

    def __init__(self, identity, service):
        self.identity, self.service, self.row, self.requests = identity, service, None, 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, sock=listening_socket())
        self.port = self.server.sockets[0].getsockname()[1]

    def record(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "a", "slots": 64, "state": "ready",
                "sequence": 0, "born": 1}

    async def _serve(self, reader, writer):
        try:
            while await self._respond(reader, writer):
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The gateway has closed the connection, or the test has ended.
        finally:
            writer.close()

    async def _respond(self, reader, writer):
        """Responds to one request; returns whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        length = int(headers.get("content-length", "0"))
        request = headers.get("x-request-id")
        row = self.row if request else None
        if row is None or not row.early:
            await reader.readexactly(length)
        if not request:
            writer.write(response(200, b'{"busy": false, "sequence": 0, "born": 1}'))
            return True
        self.requests += 1
        fields = f"X-Request-Id: {request}\r\nX-Server-Stamp: {self.identity}\r\nX-Instance-Load: 0,0,64\r\n"
        if row is None:
            head = f"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/plain\r\nContent-Length: {len(BODY)}\r\n\r\n"
            writer.write(head.encode() + BODY)
            return True
        writer.write(row.text.replace(b"{fields}", fields.encode()))
        await writer.drain()
        await self._end(row, reader, writer)
        return row.ending == "keep"

    @staticmethod
    async def _end(row, reader, writer):
        if row.ending == "read":
            writer.write_eof()
            while await reader.read(1 << 16):
                pass
        elif row.ending == "reset":
            await asyncio.sleep(RESET_DELAY_S)
            reset(writer)


@dataclasses.dataclass
class Received:
    """What a client got: `complete`: a whole message by its own framing."""
    status: int | None = None
    head: str = ""
    body: bytes = b""
    complete: bool = False
    seconds: float = 0.0


async def send(port, path, upload, request):
    """Sends one request and reads all of what comes back."""
    received, began = Received(), asyncio.get_running_loop().time()
    head = (f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nConnection: close\r\n"
            f"Content-Length: {len(upload)}\r\n\r\n")
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    try:
        writer.write(head.encode() + upload)
        await asyncio.wait_for(read_into(received, reader), 10)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass  # Not a complete message.
    finally:
        received.seconds = asyncio.get_running_loop().time() - began
        writer.transport.abort()
    return received


async def read_into(received, reader):
    received.head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
    received.status = int(received.head.split(" ")[1])
    if "\r\ntransfer-encoding: chunked\r\n" not in received.head:
        length = int(received.head.partition("\r\ncontent-length: ")[2].partition("\r\n")[0])
        received.body = await reader.readexactly(length)
    else:
        size = None
        while size != 0:
            size = int(await reader.readuntil(b"\r\n"), 16)
            received.body += (await reader.readexactly(size + 2))[:size]
    received.complete = True
