#!/usr/bin/env python3
"""Real gateway processes under a configuration that adds and drops routes, while paths to the store fail.

usage: config_freshness_test.py PATH/saltquay-gateway [--seed N] [--cases NAME,...] [--seconds S] [--busy N]

Two nodes of each zone read the store; in zone a, a third one follows them. Each case disturbs some nodes' paths to the
store, or some processes. Invariants, of nodes that were not disturbed for CONTACT_S:
- A request that is sent later than APPLY_S after a version was acknowledged is not handled as only an older one allows:
  it is not run on a route that the version dropped, and not rejected with 404 on one that it added.
- Within one life, no node goes back: the same holds ROLLBACK_S after a response that only a newer version allows.
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
from soak_gateway import Gateway  # noqa: E402
from soak_standins import Proxy  # noqa: E402

APPLY_S, CONTACT_S, ROLLBACK_S = 2.0, 3.0, 0.25
ZONES = ["a", "a", "a", "b", "b", "c", "c"]
KEPT_ROUTES = 2  # A version drops the route that was added so many versions before it.


class SlowProxy(Proxy):
    """Delivers responses late, with the content that they had when they were sent."""

    delay_s = 0.0

    async def _pump(self, reader, writer, forward):
        if forward:
            return await super()._pump(reader, writer, forward)
        loop, queue = asyncio.get_running_loop(), asyncio.Queue()

        async def deliver():
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                if writer not in self.blackholed and not writer.is_closing():
                    writer.write(data)

        delivering = loop.create_task(deliver())
        try:
            while data := await reader.read(65536):
                queue.put_nowait((loop.time() + self.delay_s, data))
            await asyncio.sleep(self.delay_s)
        except (ConnectionError, OSError):
            pass
        finally:
            delivering.cancel()
            writer.close()


class ZoneGateway(Gateway):
    def settings(self):
        zone = ZONES[int(self.name.removeprefix("node-"))]
        return super().settings().replace('zone = "a"', f'zone = "{zone}"').partition("[duties]")[0]


class FreshnessTest(Soak):
    def __init__(self, arguments, folder, fault_log):
        super().__init__(arguments, folder, fault_log)
        self.seen = {}  # (gateway, incarnation) -> (newest version that a response showed, when it arrived).
        self.probes, self.worst_s = 0, 0.0

    async def build(self):
        await self.store.start()
        for index in range(2):
            await self.add_engine(f"u{index}", "plain", None)
        self.oracle.publish_engine = self.publish
        for _ in range(KEPT_ROUTES + 1):
            await self.configure()
        seeds = []
        for index in range(len(ZONES)):
            proxy = SlowProxy(self.store.port)
            await proxy.start()
            self.proxies[f"store of {index}"] = proxy
            gateway = ZoneGateway(self.arguments.program, self.folder, index, proxy.port, None, list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)

    async def configure(self):
        dropped = self.generation + 1 - KEPT_ROUTES
        self.routes = [route for route in self.routes if route["name"] != f"gen{dropped}"]
        await super().configure()

    async def change_configuration(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 2))
            await self.configure()

    async def probe_node(self, gateway, until):
        """Asks for routes that were added or dropped lately."""
        rng = random.Random(f"{gateway.name} {self.arguments.seed}")
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.02, 0.08))
            newest = max(self.oracle.acknowledged)
            generation = rng.randint(max(1, newest - KEPT_ROUTES - 3), newest)
            self.number += 1
            request, incarnation, sent = f"probe-{self.number}", gateway.incarnation, time.monotonic()
            self.oracle.tenants[request] = "tenant-0"
            status = await self.status_of(gateway, f"gen{generation}", request)
            if status in (200, 404) and gateway.incarnation == incarnation:
                self.check(gateway, generation, status, sent)

    def check(self, gateway, generation, status, sent):
        """Checks a response on the route that `generation` added and `generation + KEPT_ROUTES` dropped."""
        self.probes += 1
        dropped_by = generation + KEPT_ROUTES
        if status == 200:
            shown, lacking = generation, dropped_by
        elif dropped_by not in self.oracle.acknowledged:
            shown, lacking = 0, generation
        else:
            return  # 404 may mean that the node dropped the route, or that it has not added it.
        self.check_in_force(gateway, generation, status, lacking, sent)
        key = (gateway.name, gateway.incarnation)
        newest, since = self.seen.get(key, (0, 0.0))
        if lacking <= newest and sent > since + ROLLBACK_S:
            self.oracle.violations.append(f"{gateway.name}: went back before version {lacking}, had shown {newest}")
        if shown > newest:
            self.seen[key] = (shown, time.monotonic())

    def check_in_force(self, gateway, generation, status, lacking, sent):
        """Checks a response that only versions before `lacking` allow."""
        if lacking not in self.oracle.acknowledged:
            return
        late = sent - self.oracle.acknowledged[lacking]
        self.worst_s = max(self.worst_s, late)
        undisturbed_s = sent - gateway.undisturbed_since
        if late > APPLY_S and undisturbed_s > CONTACT_S:
            self.oracle.violations.append(
                f"{gateway.name}: {status} on the route of version {generation}, {late:.2f} s after version {lacking} was "
                f"acknowledged, {undisturbed_s:.1f} s after the last fault there")

    def disturb(self, nodes):
        for index in nodes:
            self.gateways[index].mark_disturbed()

    async def late_responses(self, until):
        """Responses of the store reach the readers of zone a late; the followers are not disturbed."""
        nodes = self.readers_of_zone_a()
        while time.monotonic() < until:
            delay = self.rng.choice([0.0, 0.3, 0.7, 0.9, 1.2])
            for index in nodes:
                self.proxies[f"store of {index}"].delay_s = delay
            end = time.monotonic() + self.rng.uniform(1, 3)
            while time.monotonic() < end:
                self.disturb(nodes)
                await asyncio.sleep(0.05)

    async def lost_history(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
            await self.store.lose_history()

    async def suspended_readers(self, until):
        """Readers of zone a are suspended and wake up with old responses in their buffers."""
        nodes = self.readers_of_zone_a()
        while time.monotonic() < until:
            index, end = self.rng.choice(nodes), time.monotonic() + self.rng.uniform(0.3, 3)
            self.gateways[index].send(signal.SIGSTOP)
            while time.monotonic() < end:
                self.disturb([index])
                await asyncio.sleep(0.05)
            self.gateways[index].send(signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(0.05, 1))

    async def rejecting_store(self, until):
        """The store leaves most nodes without a response for a time."""
        while time.monotonic() < until:
            nodes = self.rng.sample(range(len(ZONES)), 4)
            for index in nodes:
                self.set_link(f"store of {index}", self.rng.choice(["reset", "one way"]))
            end = time.monotonic() + self.rng.uniform(1, 4)
            while time.monotonic() < end:
                self.disturb(nodes)
                await asyncio.sleep(0.05)
            for index in nodes:
                self.set_link(f"store of {index}", "pass")
            await asyncio.sleep(self.rng.uniform(0.5, 2))

    def readers_of_zone_a(self):
        """The nodes of zone a that called the store for the configuration last."""
        readers = []
        for index, gateway in enumerate(self.gateways):
            with open(gateway.log.name, encoding="utf-8") as log:
                upstreams = [line for line in log if '"record_upstream"' in line and '"kind":"config"' in line]
            if ZONES[index] == "a" and (not upstreams or '"node":""' in upstreams[-1]):
                readers.append(index)
        return readers

    async def run(self):
        await self.build()
        await asyncio.sleep(CONTACT_S + 1)
        for case in self.arguments.cases.split(","):
            until = time.monotonic() + self.arguments.seconds
            probes, violations = self.probes, len(self.oracle.violations)
            self.worst_s = 0.0
            print(f"  {case}: zone a is read by nodes {self.readers_of_zone_a()}")
            await asyncio.gather(getattr(self, case.replace(" ", "_"))(until), self.change_configuration(until),
                                 *[self.probe_node(gateway, until) for gateway in self.gateways for _ in range(2)])
            for proxy in self.proxies.values():
                proxy.delay_s = 0.0
            self.disturb(range(len(ZONES)))
            print(f"  {case}: {self.probes - probes} responses, {len(self.oracle.violations) - violations} violations; "
                  f"an older version was shown at most {self.worst_s:.2f} s late, nodes under faults included", flush=True)
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        return self.oracle.violations


CASES = "late responses,lost history,suspended readers,rejecting store"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=12, help="of each case")
    parser.add_argument("--cases", default=CASES)
    parser.add_argument("--keep", help="folder for settings and logs; default: a new temporary folder")
    arguments = parser.parse_args()
    arguments.hurts = arguments.gateways = 0
    folder = arguments.keep or tempfile.mkdtemp(prefix="saltquay-config-")
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as fault_log:
        violations = asyncio.run(FreshnessTest(arguments, folder, fault_log).run())
    print(f"seed {arguments.seed}: {len(violations)} invariants violated; logs in {folder}")
    for line in violations[:20]:
        print("  " + line)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
