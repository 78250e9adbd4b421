"""Engines whose handles lapse, and engines that send one extra answer late; see claim.txt."""

import asyncio
import json
import os
import random
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import Gateway, Record, Server, Store, read_answer, response  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 94
ZONES = ["pamp-a", "pamp-b", "grand-baie"]
CLIENTS = 14  # For each gateway.
# The doses of the site file: handle_short share 0.35 for 4.0 s; garble "extra late" share 0.6, x 0.03 for 5.0 s.
EVERY_S, LAPSE_S, EXTRA_S, EXTRA_X = 10.0, 4.0, 5.0, 0.03
SWITCH_S, READ_S, FIRST_TOKEN_S, GAP_S, EVENTS = 2.3, 0.026, 0.031, 0.01, 5

record = Record(os.path.join(HERE, "record.txt"))
handles, runs = {}, {}


class Engine(Server):
    """A model engine as the pages tell it. `lapses`: its handles lapse at once. `extra_until`: until then it sends a
    share of its answers once more, late: where the next answer of the same connection should be."""

    def __init__(self, identity, zone, stage, store):
        self.identity, self.zone, self.stage, self.store = identity, zone, stage, store
        self.sequence, self.fence, self.busy_until, self.running = 0, 0, 0, 0
        self.lapses, self.extra_until, self.answers, self.extras = False, 0, 0, 0
        self.born = int(time.time() * 1000)

    def publish(self):
        self.store.put("servers", self.identity, {
            "service": "roster-llm", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": 128, "state": "ready", "cold_remaining_ms": 0, "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born})

    async def _serve(self, reader, writer):
        writer.extra = None
        await super()._serve(reader, writer)

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        if headers.get("x-expect-instance", self.identity) != self.identity:
            writer.write(response(421))
        elif target == "/report":
            writer.write(response(200, json.dumps({
                "stage": self.stage, "models": [], "busy": time.monotonic() < self.busy_until,
                "sequence": self.sequence, "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 680111,
                "kv_handles": 0, "born": self.born}).encode()))
        elif target == "/order":
            writer.write(self.order(json.loads(body)))
        elif method == "DELETE":
            handles.pop(target.rsplit("/", 1)[1], None)
            writer.write(response(200))
        else:
            return await self.request(headers, writer)
        return True

    def order(self, order):
        if order["fencing_token"] < self.fence:
            return response(412)
        if time.monotonic() < self.busy_until or order.get("expect_revision", self.sequence) != self.sequence:
            return response(409)
        if order["stage"] == self.stage:
            return response(200)
        self.fence, self.sequence = order["fencing_token"], self.sequence + 1
        self.busy_until = time.monotonic() + SWITCH_S
        record("order", self.identity, order["stage"])

        def switched():
            self.stage = order["stage"]
            self.publish()
        asyncio.get_running_loop().call_later(SWITCH_S, switched)
        return response(202)

    def answered(self, writer, request, answer):
        """An answer was sent: decides whether it will come once more."""
        self.answers += 1
        if time.monotonic() < self.extra_until and random.random() < EXTRA_X:
            writer.extra = (request, answer)

    async def request(self, headers, writer):
        request = headers["x-request-id"]
        self.running += 1
        try:
            work = asyncio.ensure_future(self.work(headers, request, writer))
            if writer.extra is not None:
                earlier, answer = writer.extra
                writer.extra = None
                self.extras += 1
                record("extra answer of", earlier, "from", self.identity, "where the answer of", request, "should be")
                writer.write(answer)
            return await work
        finally:
            self.running -= 1

    async def work(self, headers, request, writer):
        common = {"X-Request-Id": request, "X-Instance-Load": f"{self.running},0,128"}
        prefill, source = headers.get("x-stage") == "prefill", headers.get("x-kv-source", "").rpartition("/")[2]
        refused = None
        if prefill != (self.stage == "prefill"):
            refused = response(421, headers=common)
        elif time.monotonic() < self.busy_until or (source and not handles.pop(source, False)):
            refused = response(503, headers={**common, "X-Not-Executed": "1"}, reason="Service Unavailable")
        if refused is not None:
            record("not run", request, "at", self.identity, refused[9:12].decode(), source)
            writer.write(refused)
            self.answered(writer, request, refused)
            return True
        if prefill:
            await asyncio.sleep(READ_S)
            handle = f"{random.getrandbits(48):012x}"
            handles[handle] = not self.lapses
            record("read", request, "at", self.identity, handle, "which lapses" if self.lapses else "")
            answer = response(200, json.dumps({"kv_handle": handle, "tokens": 2890, "version": 1}).encode(), common)
            writer.write(answer)
            self.answered(writer, request, answer)
            return True
        await asyncio.sleep(FIRST_TOKEN_S if source else 2 * READ_S)
        runs.setdefault(request, []).append(self.identity)
        record("runs", request, "at", self.identity)
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
        common["X-Server-Stamp"] = f"{self.identity}.{request}"
        answer = (head + "".join(f"{name}: {value}\r\n" for name, value in common.items()) + "\r\n").encode()
        writer.write(answer)
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            answer += chunk
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        self.answered(writer, request, answer + b"0\r\n\r\n")
        return True


class Case:
    def __init__(self, program, folder):
        self.program, self.folder, self.number = program, folder, 0
        self.statuses, self.outcomes = {}, {}

    async def client(self, gateway):
        while True:
            await asyncio.sleep(random.uniform(0.6, 1.0))
            self.number += 1
            request = f"{random.getrandbits(64):016x}"
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.client), 1)
                record("sends", request, "to", gateway.name)
                writer.write(f"POST /cover/2f HTTP/1.1\r\nHost: rcr.example\r\nX-Request-Id: {request}\r\n"
                             f"X-Deadline-Ms: 3000\r\nConnection: close\r\nX-Model: m\r\nX-Token-Count: 2890,5\r\n"
                             f"X-Prompt-Prefix: {request}:2890\r\nContent-Length: 2\r\n\r\nhi".encode())
                status, _, _, complete = await asyncio.wait_for(read_answer(reader), 5)
                writer.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status, complete = type(error).__name__, False
            record("gets", request, status, "whole" if complete else "cut")
            self.outcomes[request] = status
            self.statuses[status] = self.statuses.get(status, 0) + 1

    async def trouble(self, engines):
        """Windows of both disruptions, each within the doses of the site file."""
        while True:
            await asyncio.sleep(EVERY_S - EXTRA_S)
            readers = [engine for engine in engines if engine.stage == "prefill"]
            writers = [engine for engine in engines if engine.stage == "decode"]
            lapsing = random.sample(readers, min(len(readers), 1))  # One of six engines.
            garbling = random.sample(writers, min(len(writers), int(0.6 * len(engines))))
            record("handles lapse at", [e.identity for e in lapsing], "extra answers from",
                   [e.identity for e in garbling])
            for engine in garbling:
                engine.extra_until = time.monotonic() + EXTRA_S
            for engine in lapsing:
                engine.lapses = True
            await asyncio.sleep(LAPSE_S)
            for engine in lapsing:
                engine.lapses = False
            await asyncio.sleep(EXTRA_S - LAPSE_S)

    async def run(self):
        store = await Store().start()
        engines = []
        for index, stage in enumerate(["prefill"] * 4 + ["decode"] * 2):
            engines.append(await Engine(f"i-7f3a91c{index}", ZONES[index % 3], stage, store).start())
            engines[-1].publish()
        store.put("config", "main", {
            "version": 1,
            "routes": [{"name": "r-cover", "host": "rcr.example", "path_prefix": "/cover/", "kind": "streaming",
                        "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1, "service": "roster-llm",
                        "max_attempts": 1, "sticky": True, "resumable": False, "target_gap_ms": 400}],
            "services": [{"name": "roster-llm", "health_check_path": "/health", "max_connections": 610,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 128, "kv_capacity_tokens": 680111, "kv_token_bytes": 18432,
                                     "link_mbps": 370000.0, "moves": True, "backups": True, "stride": 8, "most": 12,
                                     "kv_hold_s": 5.0, "stage_switch_s": SWITCH_S, "pin_ms": 4000.0,
                                     "hold_ms": 2000.0, "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        gateways = []
        for zone in ZONES:
            seeds = [f"127.0.0.1:{gateway.peer}" for gateway in gateways]
            gateways.append(Gateway(self.program, self.folder, f"front-{zone}-1", zone, store.port, seeds, ZONES, slack=52))
            gateways[-1].start()
        tasks = []
        try:
            for gateway in gateways:
                if not await gateway.wait_ready():
                    print("a gateway did not get ready")
                    return 2
            tasks = [asyncio.ensure_future(self.client(gateway)) for gateway in gateways for _ in range(CLIENTS)]
            if TROUBLE:
                tasks.append(asyncio.ensure_future(self.trouble(engines)))
            await asyncio.sleep(LENGTH_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for gateway in gateways:
                gateway.stop()
        refused = [request for request, status in self.outcomes.items() if status in (503, 429, 408, 421)]
        broken = [request for request in refused if request in runs]
        twice = [request for request, places in runs.items() if len(places) > 1]
        record("refused although they ran:", broken, "ran twice:", twice)
        print(f"{len(self.outcomes)} requests by status: {self.statuses}; engines sent "
              f"{sum(engine.extras for engine in engines)} extra answers beside "
              f"{sum(engine.answers for engine in engines)}; refused although they ran: {len(broken)}; "
              f"ran twice: {len(twice)}")
        return 1 if broken or twice else 0


def main():
    with tempfile.TemporaryDirectory(prefix="review-2-") as folder:
        sys.exit(asyncio.run(Case(sys.argv[1], folder).run()))


if __name__ == "__main__":
    main()
