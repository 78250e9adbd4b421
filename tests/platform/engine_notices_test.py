#!/usr/bin/env python3
"""Real gateway processes in front of engines that name limits, ask for rest and state that they leave.

usage: engine_notices_test.py PATH/saltquay-gateway [--seed N] [--gateways 5]

Meanwhile the store is away, one gateway is killed and started again, and one is suspended; what these two had been told
before does not bind them. Engines count the client requests that reach them. Invariants:
- From 3 s after an engine first named its limit, the gateways that it told at least 0.5 s before send it at most
  1.5 times the limit, and 5 more, in 4 s.
- From 0.5 s after an engine asked a gateway for rest, that gateway sends it at most 2 requests until the rest ends.
- From 0.5 s after an engine told a gateway that it leaves, that gateway sends it nothing.
- Each engine that named a limit still gets requests, and at least a quarter of all requests is served.
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
from soak import Soak  # noqa: E402
from soak_oracle import ROUTES, TENANTS  # noqa: E402
from soak_standins import Engine, Proxy  # noqa: E402

TOLD_S, CONTACT_S, WINDOW_S = 0.5, 3, 4
LIMIT_FACTOR, LIMIT_SLACK, ALLOWED_IN_REST = 1.5, 5, 2
LIMIT, REST_S, REST_SHARE = 1.0, 2.0, 0.6


class NoticeEngine(Engine):
    """Engine that states its condition, and records which gateway sent each request, and when."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.limit, self.limited_since, self.asks_for_rest, self.leaving = None, None, False, False
        self.arrivals, self.rests = [], []  # (time, gateway); (gateway, from, until).
        self.told = {"limit": {}, "leaving": {}}  # Statement -> gateway -> time of the first response with it.

    def name_limit(self, limit):
        self.limit, self.limited_since = limit, time.monotonic()

    async def _request(self, headers, body, writer):
        self.arrivals.append((time.monotonic(), gateway_of(headers["x-request-id"])))
        return await super()._request(headers, body, writer)

    def statements(self, request):
        stated = {}
        if self.limit is not None:
            stated["Server-Limit"] = str(self.limit)
            self.told["limit"].setdefault(gateway_of(request), time.monotonic())
        if self.leaving:
            stated["Server-Leaving"] = "1"
            self.told["leaving"].setdefault(gateway_of(request), time.monotonic())
        return stated

    def rest_asked_of(self, request):
        if not self.asks_for_rest or self.rng.random() >= REST_SHARE:
            return 0
        self.rests.append((gateway_of(request), time.monotonic(), time.monotonic() + REST_S))
        return REST_S

    def excuse(self, gateway):
        """The gateway was killed or suspended."""
        for told in self.told.values():
            told.pop(gateway, None)
        self.rests = [rest for rest in self.rests if rest[0] != gateway]

    def arrivals_from_told(self, statement):
        told = self.told[statement]
        return [at for at, gateway in self.arrivals if gateway in told and at >= told[gateway] + TOLD_S]

    def violations(self):
        found = []
        if self.limit is not None:
            arrivals = self.arrivals_from_told("limit")
            worst = max((sum(end - WINDOW_S < at <= end for at in arrivals)
                         for end in arrivals if end >= self.limited_since + CONTACT_S), default=0)
            allowed = LIMIT_FACTOR * WINDOW_S * self.limit + LIMIT_SLACK
            if worst > allowed:
                found.append(f"{self.identity}: {worst} requests in {WINDOW_S} s, {allowed:.0f} allowed by its limit")
            if not any(at >= self.limited_since + CONTACT_S for at, _ in self.arrivals):
                found.append(f"{self.identity}: no request although its limit allows some")
        for gateway, began, until in self.rests:
            count = sum(began + TOLD_S < at <= until for at, sender in self.arrivals if sender == gateway)
            if count > ALLOWED_IN_REST:
                found.append(f"{self.identity}: {count} requests of gateway {gateway} during its rest")
        if late := self.arrivals_from_told("leaving"):
            found.append(f"{self.identity}: {len(late)} requests although it leaves")
        return found


def gateway_of(request):
    """Requests are named GATEWAY-NUMBER."""
    return int(request.split("-")[0])


class NoticesTest(Soak):
    async def add_engine(self, identity, service, stage):
        engine = NoticeEngine(identity, service, stage, self.oracle, self.rng)
        await engine.start()
        proxy = Proxy(engine.port)
        await proxy.start()
        self.engines.append(engine)
        self.proxies[identity] = proxy
        await self.publish(engine)

    def engine(self, identity):
        return next(engine for engine in self.engines if engine.identity == identity)

    async def run_client(self, until):
        rng, pool = random.Random(self.rng.random()), {}
        while time.monotonic() < until:
            self.number += 1
            index, route = rng.randrange(len(self.gateways)), rng.choice(list(ROUTES))
            request = f"{index}-{self.number}"
            self.oracle.tenants[request] = "tenant-0"
            outcome = await self.send_request(self.gateways[index], route, request, TENANTS["tenant-0"], pool=pool)
            self.oracle.counts[outcome] = self.oracle.counts.get(outcome, 0) + 1
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def disturb(self, index, first, second, pause):
        """Sends both signals to the gateway, `pause` seconds apart."""
        self.gateways[index].send(first)
        await asyncio.sleep(pause)
        if second is not None:
            self.gateways[index].send(second)
        for engine in self.engines:
            engine.excuse(index)

    async def state_conditions(self):
        await asyncio.sleep(2)
        for identity in ("u0", "m0", "m3"):
            self.engine(identity).name_limit(LIMIT)
        self.store.set_available(False)
        await asyncio.sleep(2)
        for identity in ("u1", "m1", "m4"):
            self.engine(identity).asks_for_rest = True
        await self.disturb(0, signal.SIGKILL, None, 0.1)
        await self.disturb(1, signal.SIGSTOP, signal.SIGCONT, 1)
        await asyncio.sleep(2)
        self.engine("m5").leaving = True
        await asyncio.sleep(5)

    async def run(self):
        await self.build()
        await asyncio.sleep(2)
        until = time.monotonic() + 13
        await asyncio.gather(self.state_conditions(), self.keep_running(until),
                             *[self.run_client(until) for _ in range(12)])
        self.store.set_available(True)
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        violations = [line for engine in self.engines for line in engine.violations()] + self.oracle.violations
        if 4 * self.oracle.counts.get("served", 0) < sum(self.oracle.counts.values()):
            violations.append("less than a quarter of the requests was served")
        return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--gateways", type=int, default=5)
    arguments = parser.parse_args()
    arguments.hurts, arguments.seconds = 0, 0
    folder = tempfile.mkdtemp(prefix="saltquay-notices-")
    with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as fault_log:
        test = NoticesTest(arguments, folder, fault_log)
        violations = asyncio.run(test.run())
    print(f"seed {arguments.seed}: {test.oracle.counts}, {len(violations)} invariants violated; logs in {folder}")
    for line in violations:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
