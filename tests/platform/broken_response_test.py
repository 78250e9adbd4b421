#!/usr/bin/env python3
"""Real gateway processes before engines that send broken responses, also through a peer.

Guards against: a client gets a part of a response, or bytes that are no response, as an answer.

usage: broken_response_test.py PATH/saltquay-gateway [--cases "CASE|..."]

Two gateways; one of them reaches no engine and hands its requests to the other. Invariants of each case, on a route of
each kind:
- A response that is not whole does not reach a client as a complete one: it gets an error of the gateway's own, or a
  message that is cut off.
- It gets that within MAX_FAILURE_S, not when the request's time is over.
- A response that is whole reaches the client as it is.
"""

import argparse
import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from broken_response_standins import BODY, BrokenEngine, LONG_UPLOAD, Row, SHORT_UPLOAD, send  # noqa: E402
from node_partition_test import PartitionGateway, StoreView  # noqa: E402
from soak_gateway import free_port  # noqa: E402
from soak_standins import Store  # noqa: E402

ENGINES, ROUNDS, TIMEOUT_S, MAX_FAILURE_S = 3, 2, 4.0, 2.0
RETRY_S, MAX_TRIES = 0.1, 50
KINDS = {"once": ("unsafe", 1), "safe": ("safe", 2), "stream": ("streaming", 1)}
OWN_FAILURES = (502, 503)

PART = BODY[:500]
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n{fields}\r\n"
EVENT_STREAM = b"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REFUSAL = b"HTTP/1.1 413 Content Too Large\r\n{fields}"
WITH_LENGTH = REFUSAL + f"Content-Length: {len(BODY)}\r\n\r\n".encode()
CHUNKED = REFUSAL + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# The engine responds to a long request before it has read it, and resets the connection.
EARLY = {
    "early part": Row(UNTIL_CLOSE + PART, "reset", early=True),
    "early head": Row(UNTIL_CLOSE, "reset", early=True),
    "early events": Row(EVENT_STREAM + EVENTS, "reset", early=True),
    "early part of HTTP/1.0": Row(b"HTTP/1.0 200 OK\r\n{fields}\r\n" + PART, "reset", early=True),
    "early part of an error": Row(b"HTTP/1.1 500 X\r\n{fields}\r\n" + PART, "reset", early=True),
    "early part of a refusal": Row(REFUSAL + b"Connection: close\r\n\r\n" + PART, "reset", early=True),
    "early part with a length": Row(WITH_LENGTH + PART, "reset", early=True),
    "early part in chunks": Row(CHUNKED + chunk(PART), "reset", early=True),
    "early refusal with a length": Row(WITH_LENGTH + BODY, "reset", early=True, whole=413),
    "early refusal in chunks": Row(CHUNKED + chunk(BODY) + b"0\r\n\r\n", "reset", early=True, whole=413),
    "early refusal, request read": Row(REFUSAL + b"\r\n" + BODY, "read", early=True, whole=413),
}
OK = b"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/plain\r\n" + f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


def with_status(status):
    return OK.replace(b"200 OK", f"{status} X".encode(), 1)


UPGRADE = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
STATUSES = {
    **{f"status {status}": Row(with_status(status), "keep") for status in ("000", "001", "099", "600", "999")},
    "status 000, then a response": Row(b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + OK, "keep"),
    "upgrade, then a response": Row(UPGRADE + OK, "keep"),
    "status 100, then a response": Row(b"HTTP/1.1 100 Continue\r\n\r\n" + OK, "keep", whole=200),
    "status 103, then a response": Row(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK, "keep", whole=200),
    "status 599": Row(with_status(599), "keep", whole=599),
}


def with_line(line):
    """Returns a response with one more line behind the engine's own fields."""
    return OK.replace(b"{fields}", b"{fields}" + line + b"\r\n")


# Lines that are no fields (RFC 9112, 5.1 and 5.2).
LINES = {"blank before a name": b" X-Bad: v", "tab before a name": b"\tX-Bad: v", "folded line": b"X-Fold: a\r\n b",
         "line of a blank": b" ", "blank in a name": b"X Bad: v", "blank before a colon": b"X-Bad : v",
         "control byte in a name": b"X-\x01Bad: v", "NUL in a name": b"X-\0Bad: v", "DEL in a name": b"X-\x7fBad: v",
         "byte over 127 in a name": b"X-\xe9Bad: v", "no colon": b"X-Bad", "no name": b": v",
         "control byte in a value": b"X-Bad: \x01"}
FIELDS = {name: Row(with_line(line), "keep") for name, line in LINES.items()}
CHUNKS = chunk(BODY) + b"0\r\n\r\n"


def with_coding(coding, fields=b""):
    head = b"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/plain\r\nTransfer-Encoding: "
    return head + coding + b"\r\n" + fields + b"\r\n" + CHUNKS


CODINGS = {
    **{f"coding '{coding}'": Row(with_coding(coding.encode()), "close")
       for coding in ("gzip, chunked", "chunked, gzip", "gzip", "chunked, chunked", "xchunked", "")},
    "coding 'gzip' with a length": Row(with_coding(b"gzip", f"Content-Length: {len(CHUNKS)}\r\n".encode()), "keep"),
    "coding 'gzip' in two fields": Row(with_coding(b"gzip", b"Transfer-Encoding: chunked\r\n"), "keep"),
    "coding 'Chunked'": Row(with_coding(b"Chunked"), "keep", whole=200),
}
CUT_PLACES = ["HTT", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n{fields}Content-Le",
              "HTTP/1.1 200 OK\r\n{fields}Content-Length: 1", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n",
              "HTTP/1.1 200 OK\r\n{fields}", "HTTP/1.1 200 OK\r\n{fields}\r"]
# The engine stops inside the head; also while it reads a long request.
CUT_HEADS = {f"head cut at {place[-12:]!r}, {ending}{', early' if early else ''}": Row(place.encode(), ending, early)
             for place in CUT_PLACES for ending, early in (("close", False), ("reset", False), ("reset", True))}
CASES = {**EARLY, **STATUSES, **FIELDS, **CODINGS, **CUT_HEADS}


class BrokenResponseTest:
    def __init__(self, arguments, folder):
        self.arguments, self.folder, self.number = arguments, folder, 0
        self.store, self.engines, self.gateways, self.views, self.violations = Store(), [], [], [], []

    async def run(self):
        await self.start()
        for name in self.arguments.cases.split("|") if self.arguments.cases else CASES:
            await self.run_case(name, CASES[name])
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        return self.violations

    async def start(self):
        await self.store.start()
        routes = [{"name": name, "host": "h", "path_prefix": f"/{name}/", "kind": kind, "service": name,
                   "timeout_ms": TIMEOUT_S * 1000, "target_latency_ms": 400, "max_attempts": attempts}
                  for name, (kind, attempts) in KINDS.items()]
        services = [{"name": name, "health_check_path": "/health"} for name in KINDS]
        await self.store.put("config", "main", {"version": 1, "routes": routes, "services": services,
                                                "limits": {"max_body_bytes": 2 * len(LONG_UPLOAD)}})
        seeds = []
        for index in range(2):
            self.views.append(StoreView(self.store, {}))
            await self.views[index].start()
            gateway = PartitionGateway(self.arguments.program, self.folder, index, self.views[index].port, None,
                                       list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)
        await asyncio.sleep(2)

    async def replace_engines(self):
        """Engines that have failed before get fewer requests."""
        for engine in self.engines:
            await self.store.remove("servers", engine.identity)
            engine.server.close()
        self.engines, unreachable = [], f"127.0.0.1:{free_port()}"
        for service in list(KINDS) * ENGINES:
            self.number += 1
            engine = BrokenEngine(f"e{self.number}", service)
            await engine.start()
            self.engines.append(engine)
            address = f"ENGINE-{engine.identity}-"
            self.views[0].addresses[address] = unreachable
            self.views[1].addresses[address] = f"127.0.0.1:{engine.port}"
            await self.store.put("servers", engine.identity, {**engine.record(), "address": address})
        await asyncio.gather(*(self.wait_until_served(gateway, route) for gateway in self.gateways for route in KINDS))

    async def wait_until_served(self, gateway, route):
        stamps = tuple(f"\r\nx-server-stamp: {engine.identity}\r\n" for engine in self.engines)
        for _ in range(MAX_TRIES):
            received = await self.send_one(gateway, route, SHORT_UPLOAD)
            if any(stamp in received.head for stamp in stamps):
                return
            await asyncio.sleep(RETRY_S)
        self.violations.append(f"{gateway.name}, {route}: no request was served by the new engines")

    async def run_case(self, name, row):
        await self.replace_engines()
        for engine in self.engines:
            engine.row, engine.requests = row, 0
        for route in KINDS:
            results = []
            for _ in range(ROUNDS):
                results += await asyncio.gather(*(self.send_one(gateway, route, row.upload())
                                                for gateway in self.gateways))
            self.check(name, route, row, results)

    async def send_one(self, gateway, route, upload):
        self.number += 1
        request = f"r{self.number}"
        # Requests that are alike count as one that crashes engines.
        return await send(gateway.client, f"/{route}/x", request.encode() + upload, request)

    def check(self, name, route, row, results):
        case, arrived = f"{name}, {route}", sum(engine.requests for engine in self.engines if engine.service == route)
        verdicts = [self.verdict(row, received) for received in results]
        print(f"  {case}: {arrived} requests at engines; "
              + ", ".join(f"{received.status}{'' if received.complete else ' cut'} in {received.seconds:.2f} s"
                          for received in results), flush=True)
        if not arrived:
            self.violations.append(f"{case}: no request reached an engine")
        self.violations += [f"{case}: {verdict}" for verdict in verdicts if verdict]

    @staticmethod
    def verdict(row, received):
        """Returns what is wrong with a response that a client got, or None."""
        got = f"status {received.status}, {len(received.body)} bytes after {received.seconds:.2f} s"
        if row.whole is not None:
            whole = received.complete and received.status == row.whole and received.body == BODY
            return None if whole else f"a whole response did not arrive: {got}"
        if received.complete and (received.status not in OWN_FAILURES or "x-server-stamp" in received.head):
            return f"a broken response arrived as complete: {got}"
        return None if received.seconds < MAX_FAILURE_S else f"the failure came late: {got}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--cases", help=f"separated by |; default: all of {', '.join(CASES)}")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="saltquay-broken-")
    violations = asyncio.run(BrokenResponseTest(arguments, folder).run())
    print(f"{len(violations)} invariants violated; logs in {folder}")
    for line in violations:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
