#!/usr/bin/env python3
"""Real gateway processes before a store in which another writer leaves odd objects.

Guards against: one object that another writer puts into the store ends the processes that read it, or keeps them from
following the store.

usage: store_entries_test.py PATH/saltquay-gateway [--seed N] [--cases "CASE|..."] [--list]

A case is "[7 ]WHEN KIND FORM": seven gateways instead of three; WHEN the odd object comes: "event", "start" (before the
gateways start), "border" (as start, and each page of a list has PAGE_SIZE objects), "rewritten" (as event, and again
twice a second); FORM a label of odd_objects(), a beginning of labels with "*" (all of these at once), or "random".
Invariants of each case, while requests run and the object is there:
- No gateway process ends by itself.
- At least MIN_SHARE of the requests are served.
- Each gateway follows a new engine and a new configuration within FOLLOWED_S.
- The log names an object that no reader can take for a valid record, and each of its lines is a JSON object of at most
  MAX_LINE_BYTES.
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
from store_entries_standins import OddObject, RawStore, odd_objects, random_object  # noqa: E402
from stream_standins import StreamClient, StreamEngine  # noqa: E402
from stream_test import StreamGateway  # noqa: E402

ENGINES, REQUESTS_PER_S, PAGE_SIZE, RANDOM_OBJECTS = 4, 60, 3, 5
MIN_SHARE, FOLLOWED_S, START_S, REWRITE_S, SETTLE_S, CASE_S = 0.95, 2.0, 2.0, 0.5, 0.5, 2.6
LOGGED_NAME_CHARS = 32  # The log may cut off longer names.
MAX_LINE_BYTES = 32768
WHEN = ("event", "start", "border", "rewritten")
KINDS = ("servers", "config", "main")  # "main": the configuration itself.


class AnyEngine(StreamEngine):
    """Engine that answers as the engine that a request is for."""

    async def handle(self, line, headers, body, writer):
        self.identity = headers.get("x-expect-instance", self.identity)
        return await super().handle(line, headers, body, writer)


class Case:
    """One case: a store, gateways and engines of its own."""

    def __init__(self, name, arguments, folder, number):
        self.name, self.arguments, self.folder = name, arguments, os.path.join(folder, f"{number}")
        self.rng = random.Random(f"{arguments.seed} {name}")
        self.count, rest = (7, name[2:]) if name.startswith("7 ") else (3, name)
        self.when, self.kind, form = rest.split(" ", 2)
        self.odd = self.objects_of(form)
        self.store = RawStore(PAGE_SIZE if self.when == "border" else 500)
        self.engines, self.gateways, self.number, self.ends, self.served = [], [], 0, [], [0, 0]
        self.version, self.measuring = 0, {}
        os.makedirs(self.folder)

    def objects_of(self, form):
        if form == "random":
            return [random_object(self.rng) for _ in range(RANDOM_OBJECTS)]
        labels = odd_objects()
        found = [odd for label, odd in labels.items() if label == form or form[-1] == "*" and label.startswith(form[:-1])]
        if not found or self.when not in WHEN or self.kind not in KINDS:
            raise ValueError(f"no such case: {self.name}")
        return found

    async def run(self):
        await self.store.start()
        self.spare = AnyEngine("spare", None, "v1", self.rng)
        await self.spare.start()
        for index in range(ENGINES):
            await self.start_engine(f"e{index}", "model")
        await self.configure()
        if self.when == "border":  # The odd object is the last of a page.
            for number in range(1, PAGE_SIZE):
                await self.store.put(self.kind, f"A{number}", {**self.spare.record(), "service": "other"})
        if self.when in ("start", "border"):
            await self.put_odd_objects()
        self.start_gateways()
        supervisor = asyncio.ensure_future(self.restart_ended())
        await self.wait_until_served()
        writing = asyncio.ensure_future(self.write_odd_objects())
        following = asyncio.ensure_future(self.measure_following())
        await self.send_for(CASE_S)
        await following
        for task in (supervisor, writing):
            task.cancel()

    async def wait_until_served(self):
        """Waits until each gateway serves, at most START_S."""
        until = time.monotonic() + START_S
        for index in range(self.count):
            while time.monotonic() < until and not (await self.send(index, "/chat0/x")).complete:
                await asyncio.sleep(0.05)

    async def start_engine(self, identity, service):
        engine = StreamEngine(identity, None, "v1", self.rng)
        await engine.start()
        self.engines.append(engine)
        await self.store.put("servers", identity, {**engine.record(), "service": service})

    async def configure(self):
        self.version += 1
        route = {"host": "h", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 400, "service": "model",
                 "max_attempts": 3, "resumable": True}
        routes = [{**route, "name": f"chat{number}", "path_prefix": f"/chat{number}/"} for number in range(self.version)]
        routes.append({**route, "name": "new", "path_prefix": "/new/", "service": "new"})
        services = [{"name": name, "health_check_path": "/health", "engine": {"slots": 64, "kv_capacity_tokens": 400000}}
                    for name in ("model", "new")]
        await self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services})

    async def put_odd_objects(self):
        for index, odd in enumerate(self.odd):
            kind, name = ("config", "main") if self.kind == "main" else (self.kind, odd.name)
            if len(self.odd) > 1 and odd.name == OddObject().name and self.kind != "main":
                name = odd.name = f"{name}{index}"
            await self.store.put_raw(kind, name, lambda revision, odd=odd: odd.encode(revision, self.spare.record()))

    async def write_odd_objects(self):
        if self.when in ("event", "rewritten"):
            await self.put_odd_objects()
        while self.when == "rewritten":
            await asyncio.sleep(REWRITE_S)
            await self.put_odd_objects()

    def start_gateways(self):
        seeds = []
        for index in range(self.count):
            gateway = StreamGateway(self.arguments.program, self.folder, index, self.store.port, 0, list(seeds))
            seeds.append(f"127.0.0.1:{gateway.peer}")
            gateway.start()
            self.gateways.append(gateway)

    async def restart_ended(self):
        while True:
            for gateway in self.gateways:
                if gateway.process.poll() is not None:
                    self.ends.append(-gateway.process.returncode)
                    gateway.start()
            await asyncio.sleep(0.1)

    async def send(self, index, path):
        self.number += 1
        request = f"{index}-{self.number}"
        return await StreamClient("h", path, 200).attempt(self.gateways[index].client, request, 0, None, None)

    async def send_for(self, seconds):
        clients, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            clients.append(asyncio.ensure_future(self.send(self.rng.randrange(self.count), "/chat0/x")))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        attempts = await asyncio.gather(*clients)
        self.served = [sum(attempt.complete for attempt in attempts), len(attempts)]

    async def measure_following(self):
        """Adds the first engine of a service, and a configuration, and measures how soon each gateway uses them."""
        await asyncio.sleep(SETTLE_S)
        await self.start_engine("new", "new")
        await self.configure()
        for what, path in (("engine", "/new/x"), ("configuration", f"/chat{self.version - 1}/x")):
            measuring = [asyncio.ensure_future(self.lag_of(index, path)) for index in range(self.count)]
            self.measuring[what] = measuring
        await asyncio.gather(*self.measuring["engine"], *self.measuring["configuration"])

    async def lag_of(self, index, path):
        """Returns seconds until the gateway serves the path, or None."""
        began = time.monotonic()
        while time.monotonic() < began + FOLLOWED_S:
            attempt = await self.send(index, path)
            if attempt.complete and time.monotonic() < began + FOLLOWED_S:
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        return None

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.terminate()
        for gateway in self.gateways:
            status = await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
            if status not in (0, -signal.SIGTERM):  # One that has just started may not handle SIGTERM yet.
                self.ends.append(-status)
        for server in [self.store, self.spare, *self.engines]:
            server.server.close()

    def read_log(self, gateway):
        """Returns the objects of the log, and how many of its lines aren't one, or are too long."""
        lines, broken = [], 0
        with open(gateway.log.name, "rb") as log:
            for line in log.read().split(b"\n")[:-1]:
                try:
                    lines.append(json.loads(line))
                    broken += len(line) > MAX_LINE_BYTES
                except ValueError:
                    broken += 1
        return lines, broken

    def unnamed(self, logs):
        """Returns labels of objects that some gateway's log does not name although it must have refused them."""
        missing = []
        names = [[line.get("engine", "") for line in lines if line["name"] == "engine_record_refused"] for lines in logs]
        for odd in self.odd if self.kind == "servers" else []:
            if odd.refused and any(not is_named(odd, logged) for logged in names):
                missing.append(odd.name[:LOGGED_NAME_CHARS])
        return missing

    def violations(self):
        found = []
        if self.ends:
            found.append(f"{len(self.ends)} processes ended by signal {sorted(set(self.ends))}")
        if self.served[0] < MIN_SHARE * self.served[1]:
            found.append(f"{self.served[0]} of {self.served[1]} requests served")
        for what, measuring in self.measuring.items():
            if late := sum(task.result() is None for task in measuring):
                found.append(f"a new {what} not followed by {late} of {self.count}")
        logs = [self.read_log(gateway) for gateway in self.gateways]
        if broken := sum(count for _, count in logs):
            found.append(f"{broken} broken lines of the log")
        if missing := self.unnamed([lines for lines, _ in logs]):
            found.append(f"not named in the log: {ascii(missing[:3])}")
        return found


def is_named(odd, logged):
    if "" in odd.members or "metadata" in odd.members or "metadata.name" in odd.members:
        return bool(logged)  # The object has no readable name.
    shown = odd.name.encode("utf-8", "replace" if "\ud800" in odd.name else "surrogateescape").decode("utf-8", "replace")
    return any(clean(name) == clean(shown) or
               len(name) >= LOGGED_NAME_CHARS and clean(shown).startswith(clean(name)[:LOGGED_NAME_CHARS])
               for name in logged)


def clean(name):
    """Replacement characters are left out: decoders differ in how many they write for a sequence of invalid bytes."""
    return name.replace("\ufffd", "").replace("?", "")


def all_cases():
    forms = odd_objects()
    cases = [f"{when} servers {form}" for form in forms for when in ("event", "start")]
    cases += [f"border servers {form}" for form in forms if form.startswith("name:") or form.endswith((" 200000", "1e400"))]
    cases += [f"rewritten servers {form}" for form in forms if form.startswith(("name:", "wide:"))]
    cases += [f"rewritten servers deep: {place}, mixed, 50000" for place in ("spec", "object", "status", "metadata")]
    cases += [f"{when} config {form}" for form in forms if not form.startswith(("type:", "port:")) for when in ("event", "start")]
    cases += [f"event main {form}" for form in forms if not form.startswith(("name:", "port:", "deep: metadata", "type: meta"))]
    cases += [f"{count}{when} servers random" for count in ("", "7 ") for when in WHEN]
    cases += [f"7 {when} servers {form}" for form in ("deep: spec, arrays, 200000", "number: spec.x, 1e400") for when in WHEN]
    return cases


async def finish(case):
    """Stops the processes of a case that has run; returns whether it failed."""
    await case.stop()
    violations = case.violations()
    print(f"  {case.name}: {'; '.join(violations) or 'holds'}", flush=True)
    return bool(violations)


async def run(arguments, folder):
    cases = arguments.cases.split("|") if arguments.cases else all_cases()
    finishing = []
    for number, name in enumerate(cases):
        case = Case(name, arguments, folder, number)
        await case.run()
        finishing.append(asyncio.ensure_future(finish(case)))  # The next case runs meanwhile.
    failed = sum(await asyncio.gather(*finishing))
    print(f"seed {arguments.seed}: {failed} of {len(cases)} cases failed; logs in {folder}")
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--cases", help="cases, separated by '|'; default: all")
    parser.add_argument("--list", action="store_true", help="print all cases and exit")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(all_cases()))
        return
    folder = tempfile.mkdtemp(prefix="saltquay-entries-")
    sys.exit(1 if asyncio.run(run(arguments, folder)) else 0)


if __name__ == "__main__":
    main()
