"""Fault injection of the soak test, and the recovery checks after all faults have ended."""

import asyncio
import random
import signal
import time

from soak_oracle import LIMITED_TENANTS, LIMITS


class Faults:
    """Mix-in of the Soak class with its faults; uses its gateways, engines, proxies and store."""

    def log_fault(self, what, name, change):
        """Logs the start or end of a fault, with the same clock as the gateways' logs."""
        print(int(time.time() * 1000), what, name, change, file=self.fault_log, flush=True)

    async def heal(self):
        """Ends all faults. Within 12 s, every gateway must then serve the newest configuration, and serve tenants that
        stay within their limits."""
        self.log_fault("all", "faults", "end")
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
            self.oracle.violations.append(f"{gateway.name}: generation {newest} not served after all faults had ended")
        served = await asyncio.gather(*[self.is_served_everywhere(tenant, until) for tenant in limited])
        for tenant, is_served in zip(limited, served):
            if not is_served:
                self.oracle.violations.append(
                    f"tenant {tenant}: not served within its limit after all faults had ended")

    async def is_served_everywhere(self, tenant, until):
        """Returns whether every gateway serves the tenant before `until`. The tenant sends at most half of its limit. A
        slow gateway takes no time from the others."""
        pause, turn = 2 * LIMITS[tenant].plain_cost() / LIMITS[tenant].rate, asyncio.Lock()

        async def is_served(gateway):
            while time.monotonic() < until:
                async with turn:
                    await asyncio.sleep(pause)
                self.number += 1
                request = f"healed-{self.arguments.seed}-{self.number}"
                self.oracle.tenants[request] = tenant
                if await self.status_of(gateway, "safe", request, LIMITED_TENANTS[tenant]) == 200:
                    return True
            return False

        return all(await asyncio.gather(*[is_served(gateway) for gateway in self.gateways]))

    async def run_faults(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.rng.choice([self.fault_link, self.fault_gateway, self.fault_engine, self.fault_store,
                                   self.silence_open_connections, self.signal_in_series, self.restart_engine,
                                   self.corrupt_entry])()

    def set_link(self, name, mode):
        self.log_fault("link", name, mode)
        if name in self.proxies:  # The engine may have crashed in the meantime, which removes its proxy.
            self.proxies[name].set(mode)
        if name.startswith("store of "):
            self.gateways[int(name.removeprefix("store of "))].mark_disturbed()

    async def fault_link(self):
        name = self.rng.choice(list(self.proxies))
        self.set_link(name, self.rng.choice(["delay", "reset", "one way", "silence"]))
        asyncio.get_running_loop().call_later(self.rng.uniform(0.5, 4), self.set_link, name, "pass")

    async def silence_open_connections(self):
        """Blackholes all open connections without closing them; new connections work."""
        if self.rng.random() < 0.6:
            return  # Affects every gateway, so it is injected less often than the other faults.
        self.log_fault("connections", "all", "silent")
        for proxy in self.proxies.values():
            proxy.silence_open_connections()
        for gateway in self.gateways:
            gateway.mark_disturbed()

    async def signal_in_series(self):
        """Sends several signals to one gateway, or the same signal to all gateways one after another."""
        numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL, signal.SIGTERM]
        if self.rng.random() < 0.5:
            gateway = self.rng.choice(self.gateways)
            for number in self.rng.sample(numbers, 3):
                self.signal(gateway, number)
                await asyncio.sleep(self.rng.uniform(0, 0.3))
            return
        number = self.rng.choice(numbers)
        for gateway in self.gateways:
            self.signal(gateway, number)
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def kill_all_gateways(self, until):
        """Kills all gateways at once, one time, at 40 % to 70 % of the run."""
        await asyncio.sleep(self.rng.uniform(0.4, 0.7) * (until - time.monotonic()))
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGKILL)

    def signal(self, gateway, number):
        self.log_fault("signal", gateway.name, signal.Signals(number).name)
        gateway.send(number)

    async def fault_gateway(self):
        gateway = self.rng.choice(self.gateways)
        number = self.rng.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP])
        self.signal(gateway, number)
        if number == signal.SIGSTOP:
            asyncio.get_running_loop().call_later(self.rng.uniform(0.5, 4), self.signal, gateway, signal.SIGCONT)

    async def fault_engine(self):
        engine = self.rng.choice(self.engines)
        if self.rng.random() < 0.3:
            await self.publish(engine, "draining")
            asyncio.get_running_loop().call_later(
                3, lambda: asyncio.get_running_loop().create_task(self.publish(engine)))
            return
        engine.failing = self.rng.uniform(0.1, 0.6)
        self.log_fault("engine", engine.identity, f"loses {engine.failing:.2f} of its responses")
        asyncio.get_running_loop().call_later(self.rng.uniform(1, 4), setattr, engine, "failing", 0.0)

    async def send_responses_again(self, until):
        """Lets some engines at a time send responses once more, late, while handles lapse at others."""
        rng = random.Random(f"late responses {self.arguments.seed}")
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.5, 2))
            engines = rng.sample(self.engines, 3)
            for engine in engines:
                engine.copies, engine.lapses = rng.uniform(0.05, 0.5), rng.uniform(0.05, 0.4)
                self.log_fault("engine", engine.identity, f"sends {engine.copies:.2f} of its responses again")
            await asyncio.sleep(rng.uniform(1, 4))
            for engine in engines:
                engine.copies = engine.lapses = 0.0

    async def restart_engine(self):
        """Restarts an engine under the same id and address, sometimes without a pause."""
        engine = self.rng.choice(self.engines)
        proxy, pause = self.proxies[engine.identity], self.rng.choice([0.0, 0.05, 1.0])
        self.log_fault("engine", engine.identity, f"restarts after {pause} s")
        proxy.set("reset")
        engine.begin_incarnation()
        asyncio.get_running_loop().call_later(pause, proxy.set, "pass")
        await asyncio.sleep(pause)
        await self.publish(engine)

    async def corrupt_entry(self):
        """Overwrites an engine's record with invalid content and adds a stray one. The engine publishes its record
        again later."""
        engine = self.rng.choice(self.engines)
        record = engine.record(f"127.0.0.1:{self.proxies[engine.identity].port}")
        corrupted = self.rng.choice([{}, [], None, 7, "x" * 300_000, {**record, "state": "resting"},
                                   {**record, "service": 5}, {**record, "service": "unknown"}, {**record, "slots": "8"},
                                   {**record, "state": "\udcff"},
                                   {**record, "born": -1}, {**record, "born": 1.5}, {**record, "address": ["nowhere"]}])
        self.log_fault("entry", engine.identity, f"is {str(corrupted)[:120]}")
        await self.store.put("servers", engine.identity, corrupted)
        await self.store.put("servers", "no engine's", corrupted)
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0.1, 2), lambda: loop.create_task(self.publish(engine)))

    def set_store(self, available):
        self.log_fault("store", "all", "responds" if available else "refuses")
        self.store.set_available(available)
        for gateway in self.gateways:
            gateway.mark_disturbed()

    async def lose_history(self):
        self.log_fault("store", "all", "loses its history")
        losing = asyncio.ensure_future(self.store.lose_history())
        while not losing.done():
            for gateway in self.gateways:
                gateway.mark_disturbed()
            await asyncio.sleep(0.05)

    async def fault_store(self):
        if self.rng.random() < 0.5:
            return await self.lose_history()
        self.set_store(False)
        asyncio.get_running_loop().call_later(self.rng.uniform(0.5, 3), self.set_store, True)

    async def keep_running(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            for gateway in self.gateways:
                if gateway.process.poll() is None:
                    continue
                if gateway.exited_unexpectedly():
                    self.oracle.violations.append(
                        f"{gateway.name} exited unexpectedly: status {gateway.process.returncode}")
                gateway.start()
