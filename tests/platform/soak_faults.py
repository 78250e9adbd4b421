"""What hurts the system in a soak, and what ends all hurts."""

import asyncio
import signal
import time

from soak_truth import LIMITED_TENANTS, LIMITS


class Faults:
    """The faults' part of a soak; works on its gateways, engines, proxies and store."""

    def note(self, what, name, change):
        """One line for each fault that begins or ends, with the clock of the gateways' logs."""
        print(int(time.time() * 1000), what, name, change, file=self.fault_log, flush=True)

    async def heal(self):
        """Ends all faults; then, within some seconds, every gateway must serve the newest configuration, and tenants
        that stay within their limits."""
        self.note("all", "faults", "end")
        self.store.set_available(True)
        for proxy in self.proxies.values():
            proxy.set("pass")
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
        newest = self.generation
        missing, limited = list(self.gateways), list(LIMITED_TENANTS)
        until = time.monotonic() + 12
        while missing and time.monotonic() < until:
            await asyncio.sleep(0.2)
            statuses = await asyncio.gather(*[self.probe(gateway, newest) for gateway in missing])
            missing = [gateway for gateway, status in zip(missing, statuses) if status != 200]
        for gateway in missing:
            self.truth.breaks.append(f"{gateway.name}: generation {newest} not served after all faults were over")
        served = await asyncio.gather(*[self.is_served_everywhere(tenant, until) for tenant in limited])
        for tenant, is_served in zip(limited, served):
            if not is_served:
                self.truth.breaks.append(f"tenant {tenant}: not served within its limit after all faults were over")

    async def is_served_everywhere(self, tenant, until):
        """Whether each gateway serves the tenant by then, which sends no more than half of its limit. A gateway that
        answers late takes no time from the others."""
        pause, turn = 2 * LIMITS[tenant].plain_cost() / LIMITS[tenant].rate, asyncio.Lock()

        async def is_served(gateway):
            while time.monotonic() < until:
                async with turn:
                    await asyncio.sleep(pause)
                self.number += 1
                request = f"healed-{self.arguments.seed}-{self.number}"
                self.truth.tenants[request] = tenant
                if await self.status_of(gateway, "safe", request, LIMITED_TENANTS[tenant]) == 200:
                    return True
            return False

        return all(await asyncio.gather(*[is_served(gateway) for gateway in self.gateways]))

    async def hurt(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.luck.uniform(0.3, 1.5))
            await self.luck.choice([self.hurt_link, self.hurt_gateway, self.hurt_engine, self.hurt_store,
                                    self.silence_open, self.signal_in_series, self.restart_engine,
                                    self.spoil_entry])()

    def set_link(self, name, mode):
        self.note("link", name, mode)
        if name in self.proxies:  # An engine may have ended meanwhile, and its proxy with it.
            self.proxies[name].set(mode)
        if name.startswith("store of "):
            self.gateways[int(name.removeprefix("store of "))].disturb()

    async def hurt_link(self):
        name = self.luck.choice(list(self.proxies))
        self.set_link(name, self.luck.choice(["delay", "reset", "one way", "silence"]))
        asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 4), self.set_link, name, "pass")

    async def silence_open(self):
        """All connections that are open now say nothing more, without an end; new ones work."""
        if self.luck.random() < 0.6:
            return  # It hits every gateway, so it comes less often than the others.
        self.note("connections", "all", "silent")
        for proxy in self.proxies.values():
            proxy.silence_open()
        for gateway in self.gateways:
            gateway.disturb()

    async def signal_in_series(self):
        """One signal after the other to the same gateway, or the same to all in turn."""
        numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL, signal.SIGTERM]
        if self.luck.random() < 0.5:
            gateway = self.luck.choice(self.gateways)
            for number in self.luck.sample(numbers, 3):
                self.signal(gateway, number)
                await asyncio.sleep(self.luck.uniform(0, 0.3))
            return
        number = self.luck.choice(numbers)
        for gateway in self.gateways:
            self.signal(gateway, number)
            await asyncio.sleep(self.luck.uniform(0.1, 0.8))

    async def lose_all(self, until):
        """Once, after some seconds, all gateways are killed at the same moment."""
        await asyncio.sleep(self.luck.uniform(0.4, 0.7) * (until - time.monotonic()))
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGKILL)

    def signal(self, gateway, number):
        self.note("signal", gateway.name, signal.Signals(number).name)
        gateway.send(number)

    async def hurt_gateway(self):
        gateway = self.luck.choice(self.gateways)
        number = self.luck.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP])
        self.signal(gateway, number)
        if number == signal.SIGSTOP:
            asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 4), self.signal, gateway, signal.SIGCONT)

    async def hurt_engine(self):
        engine = self.luck.choice(self.engines)
        if self.luck.random() < 0.3:
            await self.publish(engine, "draining")
            asyncio.get_running_loop().call_later(
                3, lambda: asyncio.get_running_loop().create_task(self.publish(engine)))
            return
        engine.failing = self.luck.uniform(0.1, 0.6)
        self.note("engine", engine.identity, f"loses {engine.failing:.2f} of its answers")
        asyncio.get_running_loop().call_later(self.luck.uniform(1, 4), setattr, engine, "failing", 0.0)

    async def restart_engine(self):
        """The engine's process ends and starts again under its id, at its address; sometimes at once."""
        engine = self.luck.choice(self.engines)
        proxy, pause = self.proxies[engine.identity], self.luck.choice([0.0, 0.05, 1.0])
        self.note("engine", engine.identity, f"starts again after {pause} s")
        proxy.set("reset")
        engine.begin_life()
        asyncio.get_running_loop().call_later(pause, proxy.set, "pass")
        await asyncio.sleep(pause)
        await self.publish(engine)

    async def spoil_entry(self):
        """Another writer puts something in an engine's place, and beside it; the engine writes its entry again."""
        engine = self.luck.choice(self.engines)
        record = engine.record(f"127.0.0.1:{self.proxies[engine.identity].port}")
        spoilt = self.luck.choice([{}, [], None, 7, "x" * 300_000, {**record, "state": "resting"},
                                   {**record, "service": 5}, {**record, "service": "unknown"}, {**record, "slots": "8"},
                                   {**record, "state": "\udcff"},
                                   {**record, "born": -1}, {**record, "born": 1.5}, {**record, "address": ["nowhere"]}])
        self.note("entry", engine.identity, f"is {str(spoilt)[:120]}")
        await self.store.put("servers", engine.identity, spoilt)
        await self.store.put("servers", "no engine's", spoilt)
        loop = asyncio.get_running_loop()
        loop.call_later(self.luck.uniform(0.1, 2), lambda: loop.create_task(self.publish(engine)))

    def set_store(self, available):
        self.note("store", "all", "answers" if available else "refuses")
        self.store.set_available(available)
        for gateway in self.gateways:
            gateway.disturb()

    async def hurt_store(self):
        self.set_store(False)
        asyncio.get_running_loop().call_later(self.luck.uniform(0.5, 3), self.set_store, True)

    async def keep_running(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            for gateway in self.gateways:
                if gateway.process.poll() is None:
                    continue
                if gateway.ended_by_itself():
                    self.truth.breaks.append(f"{gateway.name} ended by itself: {gateway.process.returncode}")
                gateway.start()
