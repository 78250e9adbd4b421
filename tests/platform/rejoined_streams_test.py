#!/usr/bin/env python3
"""Guards against: after all gateways were killed at once, streams of a version that has left go on at another one.

Real gateway processes before engines of two software versions. Half of the clients leave their streams and take them up
at other gateways, again and again while they are refused. The engines of one version leave, right after that all
gateways are killed, and start again without their memory.

usage: rejoined_streams_test.py PATH/saltquay-gateway [--seed N] [--tries N]

Invariants:
- All events of a stream come from engines of one software version, over all attempts of its client.
- At least MIN_BEGUN of the streams begin, if clients may try as often as they like: else the run shows nothing.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from soak_standins import Store  # noqa: E402
from stream_standins import StreamClient, StreamEngine, StreamRecord  # noqa: E402
from stream_test import ENGINES, GATEWAYS, VERSIONS, StreamGateway  # noqa: E402

STREAMS_PER_S, BEFORE_S, LEAVES_BEFORE_KILL_S, DOWN_S, AFTER_S = 30, 5.0, 0.3, 1.0, 3.0
PATIENCE_S, PAUSE_S, RETRY_S = 22.0, 1.5, 0.25
MIN_BEGUN, UNLIMITED = 0.95, 1000


class RejoiningGateway(StreamGateway):
    """Names the first start of the whole system as such."""

    def settings(self):
        return ("" if self.incarnation > 1 else "first_start = true\n") + super().settings()


class RejoinedStreamsTest:
    def __init__(self, arguments, folder):
        self.arguments, self.folder, self.rng = arguments, folder, random.Random(arguments.seed)
        self.store, self.engines, self.gateways, self.number = Store(), [], [], 0
        self.records, self.killed_at = [], None
        # After the kill, by whether engines of the stream's version serve: attempts to take up [answered, refused].
        self.took_up = {"its version serves": [0, 0], "its version has left": [0, 0]}

    async def run(self):
        await self.store.start()
        await self.configure()
        for index in range(ENGINES):
            engine = StreamEngine(f"e{index}", None, VERSIONS[index % 2], self.rng)
            await engine.start()
            await self.store.put("servers", engine.identity, engine.record())
            self.engines.append(engine)
        seeds = []
        for index in range(GATEWAYS):
            gateway = RejoiningGateway(self.arguments.program, self.folder, index, self.store.port, 0, list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)
        await asyncio.sleep(2.5)
        faults, clients = asyncio.ensure_future(self.inject()), []
        end = time.monotonic() + BEFORE_S + DOWN_S + AFTER_S
        while time.monotonic() < end:
            clients.append(asyncio.ensure_future(self.run_client()))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(faults, *clients)
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        return self.check()

    async def configure(self):
        route = {"name": "chat", "host": "h", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000,
                 "target_latency_ms": 400, "service": "model", "max_attempts": 3, "resumable": True}
        service = {"name": "model", "health_check_path": "/health",
                   "engine": {"slots": 64, "kv_capacity_tokens": 400000, "kv_token_bytes": 18432, "link_mbps": 0,
                              "kv_hold_s": 5, "stage_switch_s": 2}}
        await self.store.put("config", "main", {"version": 1, "routes": [route], "services": [service]})

    async def inject(self):
        await asyncio.sleep(BEFORE_S - LEAVES_BEFORE_KILL_S)
        for engine in [engine for engine in self.engines if engine.version == VERSIONS[1]]:
            await self.store.remove("servers", engine.identity)
            engine.server.close()
            for writer in list(engine.connections):
                writer.transport.abort()
        await asyncio.sleep(LEAVES_BEFORE_KILL_S)
        self.killed_at = time.monotonic()
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for gateway in self.gateways:
            gateway.process.wait()
            gateway.start()

    async def run_client(self):
        # Each stream has a request of its own: one that many engines end with is quarantined.
        client = StreamClient("h", f"/chat/{len(self.records)}", 200)
        record, leaves = StreamRecord(), self.rng.random() < 0.5
        self.records.append(record)
        began, tries, leaves_left = time.monotonic(), 0, 2 if leaves else 0
        while time.monotonic() < began + PATIENCE_S and tries < self.arguments.tries:
            self.number += 1
            tries += 1
            request, position = f"r{self.arguments.seed}-{self.number}", record.position
            leave_after = self.rng.randint(1, 3) if leaves_left else None
            gateway = self.rng.choice(self.gateways)
            attempt = await client.attempt(gateway.client, request, position, record.began_as, leave_after)
            if position:
                self.count(record, attempt)
            record.add(request, attempt)
            record.seen_at, record.complete = time.monotonic(), attempt.complete
            if attempt.complete:
                return
            if attempt.events:
                leaves_left = max(0, leaves_left - 1)
                await asyncio.sleep(self.rng.uniform(0, PAUSE_S))
            else:
                await asyncio.sleep(RETRY_S)

    def count(self, record, attempt):
        if attempt.status is not None and self.killed_at is not None:
            self.took_up[self.state_of_version(record)][0 if attempt.events else 1] += 1

    @staticmethod
    def state_of_version(record):
        return "its version has left" if VERSIONS[1] in record.versions else "its version serves"

    def check(self):
        errors = [error for record in self.records for error in record.errors]
        mixed = [record for record in self.records if len(record.versions) > 1]
        resumed = sum(record.position > 0 for record in self.records)
        print(f"  {len(self.records)} streams, {resumed} began; {len(errors)} wrong, {len(mixed)} of two versions")
        for name, (answered, refused) in self.took_up.items():
            broken = [record for record in self.records if record.began_at and record.began_at < self.killed_at < record.seen_at
                      and self.state_of_version(record) == name]
            complete = sum(record.complete for record in broken)
            print(f"  taken up after the kill, {name}: {answered} answered, {refused} refused; "
                  f"{complete} of {len(broken)} streams that had begun before it went on to their end")
        if self.arguments.tries == UNLIMITED and resumed < MIN_BEGUN * len(self.records):
            errors.append(f"{resumed} of {len(self.records)} streams began")
        return errors + [f"the stream that began as {record.began_as} is of two versions" for record in mixed]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--tries", type=int, default=UNLIMITED, help="attempts of a client; default: as long as it has patience")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="saltquay-rejoined-")
    violations = asyncio.run(RejoinedStreamsTest(arguments, folder).run())
    print(f"seed {arguments.seed}: {len(violations)} invariants violated; logs in {folder}")
    for line in violations[:20]:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
