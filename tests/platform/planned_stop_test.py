#!/usr/bin/env python3
"""Real gateway processes that are stopped on purpose, in stops that overlap, while requests wait for engines.

usage: planned_stop_test.py PATH/saltquay-gateway [--seed N] [--series 2] [--clients 60]

One of the gateways reaches no engine and hands its requests to the others. In each series two gateways get SIGTERM
within a second; the others get SIGHUP and a new configuration beside it. Clients keep their connections, some upload
slowly, and more requests come than the engines run, so that some wait for seconds. Invariants:
- A connection never ends without an answer after its request was sent to an engine, unless an engine is at work on it
  in the last sixth of the grace and the request came within LATE_S of the signal.
- A connection never ends without an answer later than SLACK_S after the last byte of a request that no engine got.
- A request that was refused has not run and does not run later.
- A stopped process ends by itself, within its grace.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from node_partition_test import PartitionGateway, StoreView  # noqa: E402
from soak_clients import read_response  # noqa: E402
from soak_gateway import free_port  # noqa: E402
from soak_standins import Server, Store, response  # noqa: E402

GATEWAYS, ENGINES, SLOTS, GRACE_S, LATE_S, SLACK_S = 5, 3, 4, 8.0, 3.0, 0.2
WORK_S, PREFILL_S = (0.05, 1.6), 0.3
SERIES_S, TIMEOUT_S, SLOW_SHARE, SLOW_S = 14.0, 12.0, 0.1, 1.0
LAST_SIXTH_S = GRACE_S / 6
REFUSALS = (408, 421, 429, 503)


class WorkingEngine(Server):
    """Engine that records when it began and ended the work on a request, and refuses those beyond its slots."""

    def __init__(self, identity, test):
        self.identity, self.test, self.running, self.number = identity, test, 0, 0
        self.prefilling = asyncio.Lock()

    def record(self):
        spec = {"service": "plain", "address": f"ENGINE-{self.identity}-", "zone": "a", "slots": SLOTS,
                "state": "ready", "sequence": 0, "born": 1}
        if self.test.arguments.route == "prompts":
            spec["stage"] = "prefill" if self.identity == "e0" else "decode"
        return spec

    async def handle(self, line, headers, body, writer):
        request = headers.get("x-request-id")
        if request is None:
            writer.write(response(200, b'{"busy": false, "sequence": 0, "born": 1}'))
            return True
        if headers.get("x-stage") == "prefill":
            return await self._prefill(request, writer)
        fields = {"X-Request-Id": request, "X-Instance-Load": f"{self.running},0,{SLOTS}"}
        if self.running >= SLOTS:
            writer.write(response(503, headers={**fields, "X-Not-Executed": "1"}))
            return True
        run = self.test.runs.setdefault(request, [])
        run.append(time.monotonic())
        self.running += 1
        await asyncio.sleep(self.test.rng.uniform(*WORK_S))
        self.running -= 1
        run.append(time.monotonic())
        body = f"id: 1\ndata: done {request}\n\n".encode()
        writer.write(response(200, body, {**fields, "X-Server-Stamp": self.identity}))
        return True


    async def _prefill(self, request, writer):
        """Reads one prompt after the other."""
        read = self.test.prefills.setdefault(request, [])
        read.append(time.monotonic())
        async with self.prefilling:
            await asyncio.sleep(PREFILL_S)
        read.append(time.monotonic())
        handle = json.dumps({"kv_handle": f"{self.number}", "tokens": 1, "version": 1}).encode()
        self.number += 1
        writer.write(response(200, handle, {"X-Request-Id": request, "X-Instance-Load": f"0,0,{SLOTS}"}))
        return True


class StoppingGateway(PartitionGateway):
    def settings(self):
        return super().settings().replace("grace_s = 4", f"grace_s = {GRACE_S:.0f}")


class PlannedStopTest:
    def __init__(self, arguments, folder):
        self.arguments, self.folder, self.rng = arguments, folder, random.Random(arguments.seed)
        self.store, self.gateways, self.engines = Store(), [], []
        self.number, self.version, self.stops, self.outcomes, self.violations = 0, 0, {}, {}, []
        self.prefills, self.runs = {}, {}  # By request: when engines began and ended to read its prompt, and to run it.
        self.cut_at_work = 0

    async def run(self):
        await self.start()
        clients = [asyncio.ensure_future(self.run_client()) for _ in range(self.arguments.clients)]
        await asyncio.sleep(2)
        for series in range(self.arguments.series):
            await self.run_series([series % GATEWAYS, (series + 1 + self.rng.randrange(GATEWAYS - 2)) % GATEWAYS])
        self.ending = True
        await asyncio.gather(*clients)
        await asyncio.sleep(2)
        for request, (outcome, _) in self.outcomes.items():
            if outcome == "refused" and request in self.runs:
                self.violations.append(f"{request} was refused and ran")
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()
        counts = {}
        for outcome, _ in self.outcomes.values():
            counts[outcome] = counts.get(outcome, 0) + 1
        longest = max(seconds for _, seconds in self.outcomes.values())
        print(f"  {counts}; longest {longest:.1f} s; {self.cut_at_work} cut while an engine worked in the last sixth")
        return self.violations

    async def configure(self):
        self.version += 1
        route = {"name": "once", "host": "h", "path_prefix": "/once/", "kind": "unsafe", "service": "plain",
                 "timeout_ms": TIMEOUT_S * 1000, "target_latency_ms": 10000, "max_attempts": 1}
        service = {"name": "plain", "health_check_path": "/health"}
        if self.arguments.route == "prompts":
            route["kind"] = "streaming"
            service["engine"] = {"slots": SLOTS, "kv_capacity_tokens": 400000, "kv_token_bytes": 18432, "link_mbps": 0,
                                 "kv_hold_s": 5, "stage_switch_s": 2}
        spec = {"version": self.version, "routes": [route], "services": [service]}
        await self.store.put("config", "main", spec)

    async def start(self):
        self.ending = False
        await self.store.start()
        await self.configure()
        for index in range(ENGINES):
            engine = WorkingEngine(f"e{index}", self)
            await engine.start()
            self.engines.append(engine)
        await self.publish_engines()
        unreachable, seeds = f"127.0.0.1:{free_port()}", []
        for index in range(GATEWAYS):
            ports = {engine.identity: f"127.0.0.1:{engine.port}" if index else unreachable for engine in self.engines}
            view = StoreView(self.store, {f"ENGINE-{identity}-": address for identity, address in ports.items()})
            await view.start()
            gateway = StoppingGateway(self.arguments.program, self.folder, index, view.port, None, list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)
        await asyncio.sleep(2)
        await self.publish_engines()

    async def publish_engines(self):
        """A gateway that has just started learns the records from another one, with the addresses of its view."""
        for engine in self.engines:
            await self.store.put("servers", engine.identity, engine.record())

    async def run_series(self, stopped):
        await asyncio.sleep(self.rng.uniform(0, 1))
        ends = [asyncio.ensure_future(self.stop(self.gateways[stopped[0]]))]
        await self.configure()
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        ends.append(asyncio.ensure_future(self.stop(self.gateways[stopped[1]])))
        for gateway in self.gateways:
            if gateway not in self.stops:
                gateway.send(signal.SIGHUP)
        await self.configure()
        await asyncio.gather(*ends, asyncio.sleep(SERIES_S))

    async def stop(self, gateway):
        """Stops one gateway and starts it again once it has ended."""
        began = self.stops[gateway] = time.monotonic()
        gateway.send(signal.SIGTERM)
        while gateway.process.poll() is None and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.01)
        seconds = time.monotonic() - began
        print(f"  {gateway.name} ended {seconds:.1f} s after SIGTERM", flush=True)
        if gateway.process.poll() is None:
            self.violations.append(f"{gateway.name} has not ended after {GRACE_S} s")
            gateway.process.kill()
        gateway.process.wait()
        await asyncio.sleep(0.5)
        del self.stops[gateway]
        gateway.start()
        await asyncio.sleep(1)
        await self.publish_engines()

    async def run_client(self):
        """Keeps a connection to a gateway for as long as that gateway does."""
        connection, gateway = None, None
        while not self.ending:
            if connection is None:
                gateway = self.rng.choice(self.gateways)
                connection = await self.connect(gateway)
            if connection is not None:
                connection = await self.send(gateway, connection)
            await asyncio.sleep(self.rng.uniform(0, 0.1))

    @staticmethod
    async def connect(gateway):
        try:
            return await asyncio.open_connection("127.0.0.1", gateway.client)
        except OSError:
            return None

    async def send(self, gateway, connection):
        """Sends one request; returns the connection if it is kept."""
        self.number += 1
        request, (reader, writer) = f"r{self.number}", connection
        prompt = f"X-Model: m\r\nX-Token-Count: 20000,8\r\nX-Prompt-Prefix: {request}:20000\r\n"
        text = (f"POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nContent-Length: 40\r\n"
                f"{prompt if self.arguments.route == 'prompts' else ''}\r\n{request:40}")
        half = len(text) - 20
        try:
            writer.write(text[:half].encode())
            if self.rng.random() < SLOW_SHARE:
                await asyncio.sleep(SLOW_S)
            writer.write(text[half:].encode())
            sent = time.monotonic()
            data = await asyncio.wait_for(read_response(reader), TIMEOUT_S + 1)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            self.judge_cut(request, gateway, sent, time.monotonic())
            return None
        status = int(data.split(b" ")[1])
        outcome = "refused" if status in REFUSALS else "served" if status == 200 else f"status {status}"
        self.outcomes[request] = (outcome, time.monotonic() - sent)
        if outcome == "served" and f"done {request}\n".encode() not in data:
            self.violations.append(f"{request} got another answer")
        if b"connection: close" not in data.lower():
            return connection
        writer.close()
        return None

    def judge_cut(self, request, gateway, sent, ended):
        self.outcomes[request] = ("cut", ended - sent)
        calls, stopped = self.prefills.get(request, []) + self.runs.get(request, []), self.stops.get(gateway)
        if not calls:
            if ended - sent > SLACK_S:
                self.violations.append(f"{request} at {gateway.name}: no answer after {ended - sent:.2f} s, not sent to an engine"
                                       + (f", {ended - stopped:.2f} s after SIGTERM" if stopped else ""))
            return
        at_work = len(calls) % 2 == 1 and stopped and ended - stopped > GRACE_S - LAST_SIXTH_S and sent - stopped <= LATE_S
        self.cut_at_work += bool(at_work)
        if not at_work:
            self.violations.append(f"{request} at {gateway.name}: cut after it was sent to an engine, {ended - sent:.2f} s")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--series", type=int, default=2)
    parser.add_argument("--clients", type=int, default=60)
    parser.add_argument("--route", choices=["plain", "prompts"], default="plain")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="saltquay-stop-")
    violations = asyncio.run(PlannedStopTest(arguments, folder).run())
    print(f"seed {arguments.seed}: {len(violations)} invariants violated; logs in {folder}")
    for line in violations[:20]:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
