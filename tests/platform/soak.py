#!/usr/bin/env python3
"""Fault injection soak test: real gateway processes between stand-ins on loopback, with invariants checked throughout.

usage: soak.py PATH/saltquay-gateway [--seconds 60] [--seed N] [--gateways 4]

Faults, several at a time:
- Proxies in front of engines and the store delay, reset or swallow data, in one or both directions. Open connections
  are blackholed for good while new ones work. Every gateway has its own proxy to the store, so that single gateways
  can be disconnected from it.
- The store refuses calls or forgets its history; another writer corrupts the records of engines, and adds odd
  objects (nested deeply, with numbers out of range, of other types, under odd names) that change twice a second.
- Engines lose responses, send them once more, late, drain, or restart under the same id; handles lapse.
- Gateways are stopped, paused, reloaded and killed, alone, in series and all at once, and are started again.
Clients reuse open connections until they are closed.

Invariants, as seen by clients and engines:
- A successful response belongs to its request, is complete and signed. A stream that ends well has every event once, in
  order.
- A request that may run once runs at most once, and a request that was refused never ran.
- No two nodes hold the same fencing token.
- Within one incarnation, a gateway never goes back to an older configuration. A gateway that was not disturbed for
  DETECTION_S serves every configuration APPLY_S after its acknowledgement, and no route that it dropped. After all faults have ended, every gateway
  serves the newest one.
- Engines receive the tenant of the client's key and never the key, and run nothing for unknown keys.
- No two usage reports of one window differ, and some are made.
- A request that crashes every engine that runs it reaches at most three more engines once DETECTION_S have passed since
  the third crash.
- Engines run at most the limit of a tenant plus its tolerance in any window, although the tenant sends several times as
  much. A tenant without a limit is never refused by one.
- At least a quarter of all requests is served. Requests do not count if they were refused while all gateways were
  restarted and the store had not responded for RECOVERY_S.
Prints a line for each violation, and then exits with status 1.
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
from soak_clients import Clients  # noqa: E402
from soak_faults import Faults  # noqa: E402
from soak_gateway import Gateway  # noqa: E402
from soak_oracle import KEPT_ROUTES, LIMIT_WINDOW_S, LIMITED_TENANTS, LIMITS, ROUTES, TENANTS, Oracle  # noqa: E402
from soak_standins import DutyPlatform, Engine, Proxy  # noqa: E402
from soak_writer import OtherWriter  # noqa: E402
from store_entries_standins import RawStore  # noqa: E402


class Soak(Clients, Faults, OtherWriter):
    def __init__(self, arguments, folder, fault_log):
        self.arguments, self.folder, self.fault_log = arguments, folder, fault_log
        self.rng, self.oracle, self.store = random.Random(arguments.seed), Oracle(), RawStore()
        self.duties = DutyPlatform(self.oracle, self.rng)
        self.engines, self.proxies, self.gateways, self.number = self.oracle.engines, {}, [], 0
        self.routes, self.generation = [], 0

    async def build(self):
        await self.store.start()
        await self.duties.start()
        stages = [(f"u{i}", "plain", None) for i in range(3)]
        stages += [(f"m{i}", "model", "prefill" if i < 2 else "decode") for i in range(6)]
        for identity, service, stage in stages:
            await self.add_engine(identity, service, stage)
        self.oracle.publish_engine, self.oracle.crash_engine = self.publish, self.crash_engine
        self.routes = [{"name": name, "host": "h", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 2000,
                        "target_latency_ms": 400, "service": service, "max_attempts": attempts,
                        "resumable": name == "chat"} for name, (kind, service, attempts) in ROUTES.items()]
        await self.configure()
        seeds = []
        for index in range(self.arguments.gateways):
            store_proxy = Proxy(self.store.port)
            await store_proxy.start()
            self.proxies[f"store of {index}"] = store_proxy
            gateway = Gateway(self.arguments.program, self.folder, index, store_proxy.port, self.duties.port,
                              list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)

    def tenant(self, name):
        limit = LIMITS[name].spec() if name in LIMITS else {}
        return {"name": name, "api_keys": [{**TENANTS, **LIMITED_TENANTS}[name]], **limit}

    async def configure(self):
        """Publishes the next configuration version, which adds a route and drops the one added KEPT_ROUTES versions
        before."""
        self.generation += 1
        self.routes = [route for route in self.routes if route["name"] != f"gen{self.generation - KEPT_ROUTES}"]
        self.routes.append({"name": f"gen{self.generation}", "host": "h", "path_prefix": f"/gen{self.generation}/",
                            "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "service": "plain",
                            "max_attempts": 2})
        model = {"name": "model", "engine": {"slots": 8, "kv_capacity_tokens": 400000, "stage_switch_s": 0.5}}
        spec = {"version": self.generation, "routes": list(self.routes), "services": [{"name": "plain"}, model],
                "tenants": [self.tenant(name) for name in [*TENANTS, *LIMITED_TENANTS]]}
        await self.store.put("config", "main", spec)
        self.oracle.acknowledged[spec["version"]] = time.monotonic()

    async def change_configuration(self, until):
        """Publishes configuration changes, mostly single ones and sometimes several in quick succession."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            for _ in range(self.rng.choice([1, 1, 1, 6])):
                await self.configure()
                await asyncio.sleep(0.1)

    async def add_engine(self, identity, service, stage):
        engine = Engine(identity, service, stage, self.oracle, self.rng)
        await engine.start()
        proxy = Proxy(engine.port)
        await proxy.start()
        self.engines.append(engine)
        self.proxies[identity] = proxy
        await self.publish(engine)

    async def publish(self, engine, state="ready"):
        if engine not in self.engines:
            return  # The engine has crashed in the meantime.
        address = f"127.0.0.1:{self.proxies[engine.identity].port}"
        await self.store.put("servers", engine.identity, engine.record(address, state))

    async def crash_engine(self, engine, body):
        """Crashes the engine while it runs a request. Its record is removed later, and another engine replaces it."""
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        self.oracle.fatal(body).crashes.append(time.monotonic())
        await self.proxies.pop(engine.identity).end()
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, lambda: loop.create_task(self.store.remove("servers", engine.identity)))
        name = f"{engine.identity.split('+')[0]}+{self.number}"
        loop.call_later(2, lambda: loop.create_task(self.add_engine(name, engine.service, engine.stage)))

    async def run(self):
        await self.build()
        await asyncio.sleep(2)
        until = time.monotonic() + self.arguments.seconds
        fault_series = [self.run_faults(until) for _ in range(self.arguments.hurts)]
        await asyncio.gather(*fault_series, self.keep_running(until + 3), self.change_configuration(until),
                             self.probe_configurations(until), self.run_fatal_client(until),
                             self.kill_all_gateways(until), self.send_responses_again(until),
                             self.write_odd_objects(until),
                             *[self.run_limited_client(until, tenant) for tenant in LIMITS for _ in range(4)],
                             *[self.run_client(until) for _ in range(24)])
        keeping = asyncio.ensure_future(self.keep_running(time.monotonic() + 13))
        await self.heal()
        keeping.cancel()
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        self.oracle.check()
        if self.arguments.seconds >= 10 and not self.duties.reports:
            self.oracle.violations.append("no usage was ever reported")
        return self.oracle


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--hurts", type=int, default=2, help="number of concurrent series of faults")
    parser.add_argument("--keep", help="folder for settings and logs; default: a new temporary folder")
    arguments = parser.parse_args()
    folder = arguments.keep or tempfile.mkdtemp(prefix="saltquay-soak-")
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as fault_log:
        oracle = asyncio.run(Soak(arguments, folder, fault_log).run())
    total = sum(oracle.counts.values())
    print(f"seed {arguments.seed}: {total} requests, {json.dumps(oracle.counts, sort_keys=True)}, "
          f"{sum(len(fatal.crashes) for fatal in oracle.fatals.values())} engines crashed by "
          f"{len(oracle.fatals)} requests, "
          f"{oracle.late_responses} responses sent once more, "
          f"{oracle.refused_unconfigured} refused while no gateway could have a configuration, "
          f"{len(oracle.violations)} invariants violated; logs in {folder}")
    for name, runs in oracle.limited.items():
        print(f"  tenant {name}: {len(runs.requests)} requests ran, {oracle.over_limit[name]} refused by its limit; "
              f"at most {runs.worst_window()[0]} units in {LIMIT_WINDOW_S} s, {runs.limit.max_in_window():.0f} allowed")
    for line in oracle.violations[:20]:
        print("  " + line)
    sys.exit(1 if oracle.violations else 0)


if __name__ == "__main__":
    main()
