"""Clients of the soak test, and checks of the responses that they receive."""

import asyncio
import random
import time

from soak_oracle import KEPT_ROUTES, LIMITED_TENANTS, ROUTES, TENANTS, UNKNOWN_KEY


async def read_response(reader):
    """Reads one complete response from a kept-alive connection; an aborted stream ends when the connection closes."""
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


class Clients:
    """Mix-in of the Soak class with its clients; uses its oracle, gateways and rng."""

    async def probe(self, gateway, generation):
        self.number += 1
        incarnation, asked = gateway.incarnation, time.monotonic()
        status = await self.status_of(gateway, f"gen{generation}", f"probe-{self.arguments.seed}-{self.number}")
        if gateway.incarnation == incarnation:
            self.oracle.check_generation(gateway, generation, status, asked)
        return status

    async def probe_dropped(self, gateway, generation):
        self.number += 1
        incarnation, asked = gateway.incarnation, time.monotonic()
        status = await self.status_of(gateway, f"gen{generation}", f"dropped-{self.arguments.seed}-{self.number}")
        if gateway.incarnation == incarnation:
            self.oracle.check_dropped(gateway, generation, status, asked)

    async def status_of(self, gateway, route, request, key=TENANTS["tenant-0"]):
        """Sends one request; returns the status of the response, or None if there was none."""
        body = f"ask {request}"
        text = (f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nConnection: close\r\n"
                f"X-Credential: {key}\r\nContent-Length: {len(body)}\r\n\r\n{body}")
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
            newest = max(self.oracle.acknowledged)
            await self.probe(self.rng.choice(self.gateways), self.rng.randint(max(1, newest - 3), newest))
            if newest > KEPT_ROUTES:
                await self.probe_dropped(self.rng.choice(self.gateways), newest - KEPT_ROUTES)

    async def run_fatal_client(self, until):
        """Sends the same engine-crashing request repeatedly to random gateways for some seconds, then another one."""
        rng, kind = random.Random(self.rng.random()), 0
        while time.monotonic() < until:
            kind += 1
            route, body = rng.choice(["chat", "safe"]), f"fatal {kind}"
            end = min(until, time.monotonic() + 8)
            while time.monotonic() < end:
                self.number += 1
                request = f"fatal-{self.arguments.seed}-{self.number}"
                await self.send_request(rng.choice(self.gateways), route, request, TENANTS["tenant-0"], body)
                await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def run_client(self, until):
        rng = random.Random(self.rng.random())
        pool = {}  # gateway -> its open connection, reused until it closes.
        while time.monotonic() < until:
            self.number += 1
            route = rng.choice(list(ROUTES))
            request = f"{route}-{self.arguments.seed}-{self.number}"
            tenant = rng.choice([*TENANTS, None]) if rng.random() < 0.2 else rng.choice(list(TENANTS))
            self.oracle.tenants[request] = tenant
            gateway = rng.choice(self.gateways)
            incarnation = gateway.incarnation
            unconfigured = self.oracle.no_configuration_known(self.gateways, self.store)
            outcome = await self.send_request(gateway, route, request, TENANTS.get(tenant, UNKNOWN_KEY),
                                              pool=pool if rng.random() < 0.7 else None)
            if tenant is None and outcome == "served":
                self.oracle.violations.append(f"{request}: served with an unknown key")
            self.oracle.record_outcome(request, route, outcome, gateway, incarnation)
            self.oracle.refused_unconfigured += unconfigured and outcome == "refused"
            await asyncio.sleep(rng.uniform(0, 0.08))

    async def run_limited_client(self, until, tenant):
        """Sends several times the tenant's limit to random gateways."""
        rng, pool = random.Random(self.rng.random()), {}
        while time.monotonic() < until:
            self.number += 1
            route = rng.choice(["safe", "once", "chat"])
            request = f"{tenant}-{self.arguments.seed}-{self.number}"
            self.oracle.tenants[request] = tenant
            outcome = await self.send_request(rng.choice(self.gateways), route, request, LIMITED_TENANTS[tenant],
                                              pool=pool, tokens=(2, 2))
            self.oracle.outcomes[request] = (route, outcome)
            await asyncio.sleep(rng.uniform(0, 0.03))

    async def send_request(self, gateway, route, request, key, body=None, pool=None, tokens=(3000, 64)):
        """Sends one request and checks the response, on a connection that is taken from `pool` and returned to it."""
        close = "" if pool is not None else "Connection: close\r\n"
        headers = (f"Host: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2000\r\n{close}"
                   f"X-Credential: {key}\r\nX-Tenant: forged\r\n")
        if ROUTES[route][1] == "model":
            parts = f"aa:{tokens[0] * 2 // 3},bb:{tokens[0] - tokens[0] * 2 // 3}"
            headers += f"X-Model: m\r\nX-Token-Count: {tokens[0]},{tokens[1]}\r\nX-Prompt-Prefix: {parts}\r\n"
        body = body or f"ask {request}"
        text = f"POST /{route}/x HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"
        connection = pool.pop(gateway, None) if pool is not None else None
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.client), 1)
        except (OSError, asyncio.TimeoutError):
            return "unreachable"
        reader, writer = connection
        reusable = False
        try:
            writer.write(text.encode())
            data = await asyncio.wait_for(reader.read(-1) if pool is None else read_response(reader), 8)
            head = data.partition(b"\r\n\r\n")[0].lower()
            ended = b"transfer-encoding: chunked" not in head or data.endswith(b"\r\n0\r\n\r\n")
            reusable = pool is not None and ended and b"connection: close" not in head
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return "cut"
        finally:
            if reusable:
                pool[gateway] = connection
            else:
                writer.close()
        return self.judge(route, request, data)

    def judge(self, route, request, data):
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 "):
            return "cut"
        status = int(head.split(b" ")[1])
        if status == 429:
            self.oracle.refused_by_limit(request)
        if status in (429, 503, 408, 421):
            return "refused"
        if status != 200:
            return f"status {status}"
        if f"x-server-stamp: ".encode() not in head.lower() or f".{request}".encode() not in head:
            self.oracle.violations.append(f"{request}: success without a signature for this request")
        if ROUTES[route][1] == "plain":
            if body != f"done {request}".encode():
                self.oracle.violations.append(f"{request}: response of another request or truncated: {body[:60]!r}")
            return "served"
        if not body.endswith(b"0\r\n\r\n"):
            return "stream cut"
        events = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        if events != [f"id: {number}".encode() for number in range(1, 9)]:
            self.oracle.violations.append(f"{request}: stream ended as complete with events {events}")
        if body.count(f"data: {request}".encode()) != 8:
            self.oracle.violations.append(f"{request}: events of another request")
        return "served"
