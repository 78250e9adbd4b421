#!/usr/bin/env python3
"""Fault soak: real gateway processes between stand-ins on loopback, hurt from outside, with the promises checked.

usage: soak.py PATH/saltquay-gateway [--seconds 60] [--seed N] [--gateways 4]

Faults: proxies in front of engines and store (delay, reset, one way, silence), the store refusing, engines that lose
answers or leave, gateways stopped, paused, killed and started again, all at once too. Callers use open connections until they end. Promises, from what callers and engines see: an
answer is the own one, whole and signed; what may run once ran at most once; what was refused never ran; a stream that
ends well has each event once, in order; no two holders of one fencing token; within one life of its process a gateway
never goes back to an older configuration; once all faults are over, each gateway serves the newest one; engines are told
the tenant that holds the caller's key and never the key, and run nothing for keys that nobody holds; no two reports of
one window's usage differ, and some are made; a request that ends each engine which runs it reaches at most three more
engines once the third end is CONTACT seconds old. Every gateway
reaches the store through a proxy of its own, so that single ones are cut off from it. Exit 1 and a line for each breach.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from soak_world import DutyPlatform, Engine, Proxy, Store  # noqa: E402

ROUTES = {"once": ("unsafe", "plain", 1), "safe": ("safe", "plain", 2), "chat": ("streaming", "model", 2),
          "lone": ("streaming", "model", 1)}
TENANTS = {f"tenant-{index}": f"secret-of-{index}" for index in range(4)}
WRONG_KEY = "secret-of-nobody"
CONTACT = 3  # Seconds after which gateways in touch know of the third end.


async def read_answer(reader):
    """One answer, whole, from a connection that stays open; a stream that is broken off ends with its connection."""
    data = await reader.readuntil(b"\r\n\r\n")
    head = data.lower()
    if b"transfer-encoding: chunked" not in head:
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return data + await reader.readexactly(int(length or b"0"))
    while not data.endswith(b"\r\n0\r\n\r\n"):
        part = await reader.read(65536)
        if not part:
            break
        data += part
    return data


class Fatal:
    """A request that ends each engine which runs it: when runs reached engines, and when engines ended."""

    def __init__(self):
        self.runs, self.ends = [], []

    def later_runs(self):
        return [at for at in self.runs if len(self.ends) >= 3 and at > self.ends[2] + CONTACT]


def free_port():
    """A port that no client's connection is given by the system while its gateway is down."""
    for port in random.sample(range(10000, 30000), 1000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise RuntimeError("no port is free")


class Truth:
    """What engines ran and what callers were told."""

    def __init__(self):
        self.runs, self.told, self.breaks, self.counts = {}, {}, [], {}
        self.restage = self.end_engine = None
        self.fatals = {}  # body -> Fatal
        self.tenants = {}  # request -> tenant that holds its caller's key; nothing where none does.
        self.newest = {}  # (gateway, life) -> newest generation seen in force there.

    def ran(self, request, body):
        self.runs[request] = self.runs.get(request, 0) + 1
        if body != f"ask {request}".encode():
            self.breaks.append(f"{request}: ran with another body")

    def fatal(self, body):
        return self.fatals.setdefault(body, Fatal())

    def named(self, request, headers):
        """What the engine was told of whose request it is."""
        if any("secret-of" in value for value in headers.values()):
            self.breaks.append(f"{request}: the key went on to an engine")
        if request in self.tenants and headers.get("x-tenant") != self.tenants[request]:
            self.breaks.append(f"{request}: run for {headers.get('x-tenant')}, is of {self.tenants[request]}")

    async def restaged(self, engine):
        await asyncio.sleep(0.5)
        await self.restage(engine)

    def probed(self, gateway, generation, status):
        """A route that exists since `generation` was asked for: 404 says that the gateway serves an older one."""
        newest = self.newest.get((gateway.name, gateway.life), 0)
        if status == 404 and generation <= newest:
            self.breaks.append(f"{gateway.name}: back before generation {generation}, had served {newest}")
        if status == 200:
            self.newest[(gateway.name, gateway.life)] = max(newest, generation)

    def check(self):
        for body, fatal in self.fatals.items():
            later = fatal.later_runs()
            if len(later) > 3:
                self.breaks.append(f"{body.decode()}: {len(later)} runs over {CONTACT} s after its third end, "
                                   f"{len(fatal.ends)} engines ended")
        for request, (route, outcome) in self.told.items():
            runs = self.runs.get(request, 0)
            allowed = ROUTES[route][2]
            if runs > allowed:
                self.breaks.append(f"{request}: {route} ran {runs} times, {allowed} allowed")
            if outcome == "refused" and allowed == 1 and runs:
                self.breaks.append(f"{request}: refused, yet it ran")


class Gateway:
    def __init__(self, program, folder, index, store_port, duties_port, seeds):
        self.program, self.name = program, f"node-{index}"
        self.client, self.ready, self.peer = free_port(), free_port(), free_port()
        self.path = os.path.join(folder, f"{self.name}.toml")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.store_port, self.duties_port = store_port, duties_port
        self.process, self.seeds, self.life = None, seeds, 0

    def start(self):
        self.life += 1
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f'node_name = "{self.name}"\nzone = "a"\nclient_listen = "127.0.0.1:{self.client}"\n'
                       f'ready_listen = "127.0.0.1:{self.ready}"\npeer_listen = "127.0.0.1:{self.peer}"\n'
                       f'peer_seeds = {json.dumps(self.seeds)}\nstore_address = "127.0.0.1:{self.store_port}"\n'
                       "[bounds]\ngrace_s = 4\nlease_ms = 1000\nretry_budget_slack = 50\n"
                       f'[duties]\naddress = "127.0.0.1:{self.duties_port}"\ncalls = ["usage"]\nreport_window_s = 2\n')
        self.process = subprocess.Popen([self.program, "--settings", self.path], stdout=self.log, stderr=self.log)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, arguments, folder):
        self.arguments, self.folder = arguments, folder
        self.luck, self.truth, self.store = random.Random(arguments.seed), Truth(), Store()
        self.duties = DutyPlatform(self.truth, self.luck)
        self.engines, self.proxies, self.gateways, self.number = [], {}, [], 0
        self.routes, self.generation = [], 0

    async def build(self):
        await self.store.start()
        await self.duties.start()
        stages = [(f"u{i}", "plain", None) for i in range(3)]
        stages += [(f"m{i}", "model", "prefill" if i < 2 else "decode") for i in range(6)]
        for identity, service, stage in stages:
            await self.add_engine(identity, service, stage)
        self.truth.restage, self.truth.end_engine = self.publish, self.end_engine
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

    async def configure(self):
        """Publishes the next version, which adds a route."""
        self.generation += 1
        self.routes.append({"name": f"gen{self.generation}", "host": "h", "path_prefix": f"/gen{self.generation}/",
                            "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "service": "plain",
                            "max_attempts": 2})
        model = {"name": "model", "engine": {"slots": 8, "kv_capacity_tokens": 400000, "stage_switch_s": 0.5}}
        spec = {"version": self.generation, "routes": list(self.routes), "services": [{"name": "plain"}, model],
                "tenants": [{"name": name, "api_keys": [key]} for name, key in TENANTS.items()]}
        await self.store.put("config", "main", spec)

    async def change_configuration(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.luck.uniform(0.5, 3))
            await self.configure()

    async def probe(self, gateway, generation):
        self.number += 1
        life = gateway.life
        status = await self.status_of(gateway, f"gen{generation}", f"probe-{self.arguments.seed}-{self.number}")
        if gateway.life == life:
            self.truth.probed(gateway, generation, status)
        return status

    async def status_of(self, gateway, route, request):
        """The status of one request; nothing where none came."""
        body = f"ask {request}"
        text = (f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nConnection: close\r\n"
                f"X-Credential: {TENANTS['tenant-0']}\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.client), 1)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            writer.write(text.encode())
            head = await asyncio.wait_for(reader.readline(), 4)
        except (OSError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()
        return int(head.split(b" ")[1]) if head.startswith(b"HTTP/1.1 ") else None

    async def probe_configurations(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            newest = self.generation
            await self.probe(self.luck.choice(self.gateways), self.luck.randint(max(1, newest - 3), newest))

    async def heal(self):
        """Ends all faults; then every gateway must serve the newest configuration within some seconds."""
        self.store.available = True
        for proxy in self.proxies.values():
            proxy.set("pass")
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
        newest = self.generation
        missing = list(self.gateways)
        until = time.monotonic() + 12
        while missing and time.monotonic() < until:
            await asyncio.sleep(0.2)
            missing = [gateway for gateway in missing if await self.probe(gateway, newest) != 200]
        for gateway in missing:
            self.truth.breaks.append(f"{gateway.name}: generation {newest} not served after all faults were over")

    async def add_engine(self, identity, service, stage):
        engine = Engine(identity, service, stage, self.truth, self.luck)
        await engine.start()
        proxy = Proxy(engine.port)
        await proxy.start()
        self.engines.append(engine)
        self.proxies[identity] = proxy
        await self.publish(engine)

    async def publish(self, engine, state="ready"):
        if engine not in self.engines:
            return  # It has ended meanwhile.
        address = f"127.0.0.1:{self.proxies[engine.identity].port}"
        await self.store.put("servers", engine.identity, engine.record(address, state))

    async def end_engine(self, engine, body):
        """The engine's process ends under a request; its record goes later, and another engine comes."""
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        self.truth.fatal(body).ends.append(time.monotonic())
        await self.proxies.pop(engine.identity).end()
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, lambda: loop.create_task(self.store.remove("servers", engine.identity)))
        name = f"{engine.identity.split('+')[0]}+{self.number}"
        loop.call_later(2, lambda: loop.create_task(self.add_engine(name, engine.service, engine.stage)))

    async def fatal_caller(self, until):
        """Sends a request that ends engines again and again, to any gateway, for some seconds; then another."""
        luck, kind = random.Random(self.luck.random()), 0
        while time.monotonic() < until:
            kind += 1
            route, body = luck.choice(["chat", "safe"]), f"fatal {kind}"
            end = min(until, time.monotonic() + 8)
            while time.monotonic() < end:
                self.number += 1
                request = f"fatal-{self.arguments.seed}-{self.number}"
                await self.ask(luck.choice(self.gateways), route, request, TENANTS["tenant-0"], body)
                await asyncio.sleep(luck.uniform(0.05, 0.4))

    async def caller(self, until):
        luck = random.Random(self.luck.random())
        kept = {}  # gateway -> its open connection, used until it ends.
        while time.monotonic() < until:
            self.number += 1
            route = luck.choice(list(ROUTES))
            request = f"{route}-{self.arguments.seed}-{self.number}"
            tenant = luck.choice([*TENANTS, None]) if luck.random() < 0.2 else luck.choice(list(TENANTS))
            self.truth.tenants[request] = tenant
            outcome = await self.ask(luck.choice(self.gateways), route, request, TENANTS.get(tenant, WRONG_KEY),
                                     kept=kept if luck.random() < 0.7 else None)
            if tenant is None and outcome == "served":
                self.truth.breaks.append(f"{request}: served with a key that nobody holds")
            self.truth.told[request] = (route, outcome)
            self.truth.counts[outcome] = self.truth.counts.get(outcome, 0) + 1
            await asyncio.sleep(luck.uniform(0, 0.08))

    async def ask(self, gateway, route, request, key, body=None, kept=None):
        """One request; on a connection of `kept`, which it goes back to, or on one of its own."""
        close = "" if kept is not None else "Connection: close\r\n"
        headers = (f"Host: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2000\r\n{close}"
                   f"X-Credential: {key}\r\nX-Tenant: forged\r\n")
        if ROUTES[route][1] == "model":
            headers += "X-Model: m\r\nX-Token-Count: 3000,64\r\nX-Prompt-Prefix: aa:2000,bb:1000\r\n"
        body = body or f"ask {request}"
        text = f"POST /{route}/x HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"
        connection = kept.pop(gateway, None) if kept is not None else None
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.client), 1)
        except (OSError, asyncio.TimeoutError):
            return "unreachable"
        reader, writer = connection
        goes_back = False
        try:
            writer.write(text.encode())
            data = await asyncio.wait_for(reader.read(-1) if kept is None else read_answer(reader), 8)
            goes_back = kept is not None and b"connection: close" not in data.partition(b"\r\n\r\n")[0].lower()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return "cut"
        finally:
            if goes_back:
                kept[gateway] = connection
            else:
                writer.close()
        return self.judge(route, request, data)

    def judge(self, route, request, data):
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 "):
            return "cut"
        status = int(head.split(b" ")[1])
        if status in (429, 503, 408, 421):
            return "refused"
        if status != 200:
            return f"status {status}"
        if f"x-server-stamp: ".encode() not in head.lower() or f".{request}".encode() not in head:
            self.truth.breaks.append(f"{request}: success without its own signature")
        if ROUTES[route][1] == "plain":
            if body != f"done {request}".encode():
                self.truth.breaks.append(f"{request}: answer of another or cut: {body[:60]!r}")
            return "served"
        if not body.endswith(b"0\r\n\r\n"):
            return "stream cut"
        events = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        if events != [f"id: {number}".encode() for number in range(1, 9)]:
            self.truth.breaks.append(f"{request}: ended as whole with events {events}")
        if body.count(f"data: {request}".encode()) != 8:
            self.truth.breaks.append(f"{request}: events of another")
        return "served"

    async def hurt(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.luck.uniform(0.3, 1.5))
            await self.luck.choice([self.hurt_link, self.hurt_gateway, self.hurt_engine, self.hurt_store])()

    async def hurt_link(self):
        proxy = self.proxies[self.luck.choice(list(self.proxies))]
        proxy.set(self.luck.choice(["delay", "reset", "one way", "silence"]))
        asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 4), proxy.set, "pass")

    async def lose_all(self, until):
        """Once, after some seconds, all gateways are killed at the same moment."""
        await asyncio.sleep(self.luck.uniform(0.4, 0.7) * (until - time.monotonic()))
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)

    async def hurt_gateway(self):
        gateway = self.luck.choice(self.gateways)
        number = self.luck.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP])
        gateway.send(number)
        if number == signal.SIGSTOP:
            asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 4), gateway.send, signal.SIGCONT)

    async def hurt_engine(self):
        engine = self.luck.choice(self.engines)
        if self.luck.random() < 0.3:
            await self.publish(engine, "draining")
            asyncio.get_running_loop().call_later(
                3, lambda: asyncio.get_running_loop().create_task(self.publish(engine)))
            return
        engine.failing = self.luck.uniform(0.1, 0.6)
        asyncio.get_running_loop().call_later(self.luck.uniform(1, 4), setattr, engine, "failing", 0.0)

    async def hurt_store(self):
        self.store.available = False
        asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 3), setattr, self.store, "available", True)

    async def keep_running(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            for gateway in self.gateways:
                if gateway.process.poll() is None:
                    continue
                if gateway.process.returncode not in (0, -signal.SIGKILL):
                    self.truth.breaks.append(f"{gateway.name} ended by itself: {gateway.process.returncode}")
                gateway.start()

    async def run(self):
        await self.build()
        await asyncio.sleep(2)
        until = time.monotonic() + self.arguments.seconds
        await asyncio.gather(self.hurt(until), self.keep_running(until + 3), self.change_configuration(until),
                             self.probe_configurations(until), self.fatal_caller(until), self.lose_all(until),
                             *[self.caller(until) for _ in range(24)])
        keeping = asyncio.ensure_future(self.keep_running(time.monotonic() + 13))
        await self.heal()
        keeping.cancel()
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        self.truth.check()
        if self.arguments.seconds >= 10 and not self.duties.reports:
            self.truth.breaks.append("no usage was ever reported")
        return self.truth


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--keep", help="folder for settings and logs; default: a new temporary one")
    arguments = parser.parse_args()
    folder = arguments.keep or tempfile.mkdtemp(prefix="saltquay-soak-")
    os.makedirs(folder, exist_ok=True)
    truth = asyncio.run(Soak(arguments, folder).run())
    total = sum(truth.counts.values())
    print(f"seed {arguments.seed}: {total} requests, {json.dumps(truth.counts, sort_keys=True)}, "
          f"{sum(len(fatal.ends) for fatal in truth.fatals.values())} engines ended under {len(truth.fatals)} requests, "
          f"{len(truth.breaks)} promises broken; logs in {folder}")
    for line in truth.breaks[:20]:
        print("  " + line)
    served = truth.counts.get("served", 0)
    sys.exit(1 if truth.breaks or served * 4 < total else 0)


if __name__ == "__main__":
    main()
