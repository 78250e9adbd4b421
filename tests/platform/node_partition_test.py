#!/usr/bin/env python3
"""Real gateway processes, some of which are partitioned from all engines while clients, peers and the store reach them.

usage: node_partition_test.py PATH/saltquay-gateway [--seed N] [--cases NAME,...]

Every gateway has a zone, a view of the store and proxies to the engines of its own. The gateways are partitioned with
connections that fall silent and hang, with resets and refusals, and with open connections that work on. Invariants:
- From DETECTION_S after a partition began, requests at the partitioned gateways are served at least MIN_SHARE times as
  often as at the others, at the first attempt.
- A request that may run once runs at most once, and a request that was refused never ran (oracle of the soak test).
- No request is refused as quarantined, and the gateways record no crashed engine.
- HEALED_S after a partition has healed, gateways hand nothing to their peers any more.
"""

import argparse
import asyncio
import glob
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from soak import Soak  # noqa: E402
from soak_gateway import Gateway  # noqa: E402
from soak_oracle import ROUTES, TENANTS  # noqa: E402
from soak_standins import Engine, Proxy, Server  # noqa: E402

DETECTION_S, MIN_SHARE, PARTITION_S, HEALED_S = 1.0, 0.95, 5.0, 1.0
GATEWAYS, ENGINES_PER_STAGE = 7, 3
CASES = {"silent": ("silent", [1, 4]), "reset": ("reset", [1, 4]), "zone": ("reset", [0, 1, 2]),
         "new refused": ("new refused", [1, 4])}


class StoreView(Server):
    """The store as one gateway sees it: with the addresses of its own proxies to the engines."""

    def __init__(self, store, addresses):
        self.store, self.addresses = store, addresses

    async def handle(self, line, headers, body, writer):
        return await self.store.handle(line, headers, body, RewritingWriter(writer, self.addresses))


class RewritingWriter:
    """Replaces the addresses of engines in JSON responses."""

    def __init__(self, writer, addresses):
        self.writer, self.addresses = writer, addresses

    def write(self, data):
        head, _, body = data.partition(b"\r\n\r\n")
        for placeholder, address in self.addresses.items():
            body = body.replace(placeholder.encode(), address.encode())
        lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length:")]
        lines.append(f"Content-Length: {len(body)}".encode())
        self.writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


class PartitionProxy(Proxy):
    """Proxy whose new connections can be made to hang or be refused, by the system rather than by itself."""

    async def begin(self, kind):
        if kind == "silent":
            self.silence_open_connections()
        elif kind == "reset":
            self.abort_open_connections()
        self.server.close()
        if kind != "silent":
            return
        # A listener whose backlog is full does not respond to new connections.
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(0)
        self.fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    async def heal(self):
        for held in [*getattr(self, "fillers", []), getattr(self, "listener", None)]:
            if held is not None:
                held.close()
        self.fillers, self.listener = [], None
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)


class PartitionTest(Soak):
    async def build(self):
        self.paths = [{} for _ in range(GATEWAYS)]  # By gateway: engine -> its proxy.
        self.results, self.unserved = {}, []
        stages = [(f"u{i}", "plain", None) for i in range(ENGINES_PER_STAGE)]
        stages += [(f"p{i}", "model", "prefill") for i in range(ENGINES_PER_STAGE)]
        stages += [(f"d{i}", "model", "decode") for i in range(ENGINES_PER_STAGE)]
        for identity, service, stage in stages:
            await self.add_engine(identity, service, stage)
        self.oracle.publish_engine = self.publish
        self.routes = [{"name": name, "host": "h", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 2000,
                        "target_latency_ms": 400, "service": service, "max_attempts": attempts,
                        "resumable": name == "chat"} for name, (kind, service, attempts) in ROUTES.items()]
        await self.configure()
        seeds = []
        for index in range(GATEWAYS):
            addresses = {f"ENGINE-{name}-": f"127.0.0.1:{proxy.port}" for name, proxy in self.paths[index].items()}
            view = StoreView(self.store, addresses)
            await view.start()
            gateway = PartitionGateway(self.arguments.program, self.folder, index, view.port, None, list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)
        # Gateways that have just started learn the records from each other, with the addresses of another view.
        await asyncio.sleep(2)
        for engine in self.engines:
            await self.publish(engine)

    async def add_engine(self, identity, service, stage):
        engine = Engine(identity, service, stage, self.oracle, self.rng)
        await engine.start()
        self.engines.append(engine)
        for paths in self.paths:
            paths[identity] = PartitionProxy(engine.port)
            await paths[identity].start()

    async def publish(self, engine, state="ready"):
        await self.store.put("servers", engine.identity, engine.record(f"ENGINE-{engine.identity}-", state))

    async def run_client(self, until):
        rng, pool = random.Random(self.rng.random()), {}
        while time.monotonic() < until:
            self.number += 1
            index, route = rng.randrange(GATEWAYS), rng.choice(list(ROUTES))
            request = f"{route}-{self.arguments.seed}-{self.number}"
            self.oracle.tenants[request] = "tenant-0"
            sent = time.monotonic()
            outcome = await self.send_request(self.gateways[index], route, request, TENANTS["tenant-0"], pool=pool)
            self.oracle.record_outcome(request, route, outcome, self.gateways[index], 1)
            if self.judged_since is not None and sent >= self.judged_since:
                key = (self.case, index in self.partitioned)
                served, took = self.results.setdefault(key, ([], []))
                served.append(outcome == "served")
                took.append(time.monotonic() - sent)
                if outcome != "served":
                    self.unserved.append(f"{self.case}: {request} at {self.gateways[index].name}, sent "
                                         f"{sent - self.judged_since + DETECTION_S:.2f} s after the partition began: {outcome}")
            await asyncio.sleep(rng.uniform(0.1, 0.3))

    async def partition(self, case):
        kind, self.partitioned = CASES[case]
        proxies = [proxy for index in self.partitioned for proxy in self.paths[index].values()]
        self.case = case
        for proxy in proxies:
            await proxy.begin(kind)
        await asyncio.sleep(DETECTION_S)
        self.judged_since = time.monotonic()
        await asyncio.sleep(PARTITION_S - DETECTION_S)
        self.judged_since = None
        for proxy in proxies:
            await proxy.heal()
        await asyncio.sleep(HEALED_S)
        before = self.forwarded()
        await asyncio.sleep(1)
        if after := self.forwarded() - before:
            self.oracle.violations.append(f"{case}: {after} requests were handed to peers after the partition")

    def lines(self):
        for path in glob.glob(os.path.join(self.folder, "node-*.log")):
            with open(path, encoding="utf-8") as log:
                for line in log:
                    if line.startswith("{"):
                        yield json.loads(line)

    def forwarded(self):
        return sum(line["name"] == "request_forwarded" for line in self.lines())

    async def run(self):
        self.judged_since, self.partitioned, self.case = None, [], None
        await self.build()
        await asyncio.sleep(0.5)
        cases = self.arguments.cases.split(",") if self.arguments.cases else list(CASES)
        until = time.monotonic() + 1.5 + len(cases) * (PARTITION_S + HEALED_S + 1)
        clients = [asyncio.ensure_future(self.run_client(until)) for _ in range(14)]
        await asyncio.sleep(1.5)
        for case in cases:
            await self.partition(case)
        await asyncio.gather(*clients)
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        self.oracle.check()
        self.check(cases)
        return self.oracle.violations

    def check(self, cases):
        violations = self.oracle.violations
        for case in cases:
            shares = {}
            for partitioned in (True, False):
                served, took = self.results.get((case, partitioned), ([], []))
                shares[partitioned] = sum(served) / max(1, len(served))
                median = sorted(took)[len(took) // 2] * 1000 if took else 0
                print(f"  {case}: {'partitioned' if partitioned else 'others'}: {sum(served)} of {len(served)} served, "
                      f"median {median:.0f} ms")
            if shares[True] < MIN_SHARE * shares[False] or not shares[False]:
                violations.append(f"{case}: {shares[True]:.2f} served at the partitioned gateways, "
                                  f"{shares[False]:.2f} at the others")
        for line in self.unserved:
            print("  " + line)
        crashed = sum(line["name"] in ("engine_ended", "request_quarantined") for line in self.lines())
        if crashed:
            violations.append(f"{crashed} crashes of engines or quarantined requests were recorded")


class PartitionGateway(Gateway):
    """Gateway in a zone of its own, so that it reads the store itself, and without duties."""

    def settings(self):
        return (f'node_name = "{self.name}"\nzone = "zone-{self.name}"\nclient_listen = "127.0.0.1:{self.client}"\n'
                f'ready_listen = "127.0.0.1:{self.ready}"\npeer_listen = "127.0.0.1:{self.peer}"\n'
                f'peer_seeds = {json.dumps(self.seeds)}\nstore_address = "127.0.0.1:{self.store_port}"\n'
                "[policy]\nchange_roles = false\n[bounds]\ngrace_s = 4\nretry_budget_slack = 50\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--cases", help="comma-separated; default: all")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="saltquay-partition-")
    with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as fault_log:
        violations = asyncio.run(PartitionTest(arguments, folder, fault_log).run())
    print(f"seed {arguments.seed}: {len(violations)} invariants violated; logs in {folder}")
    for line in violations[:20]:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
