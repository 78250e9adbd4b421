"""Another writer of the soak test's store: odd objects that come, change twice a second, and go."""

import asyncio
import random
import time

from store_entries_standins import OddObject, odd_objects, random_object

SERIES, REWRITE_S = 2, 0.5


class OtherWriter:
    """Mix-in of the Soak class; uses its store, and its log of faults."""

    async def write_odd_objects(self, until):
        """Runs until `until`, and takes back what it wrote."""
        await asyncio.gather(*[self._write_series(number, until) for number in range(SERIES)])

    async def _write_series(self, number, until):
        rng = random.Random(f"odd objects {self.arguments.seed} {number}")
        forms = odd_objects()
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0, 1))
            kind, name = rng.choice(["servers", "servers", "config"]), None
            remaining = rng.randrange(1, 7)
            while remaining > 0 and time.monotonic() < until:
                label, odd = self._choose(rng, forms)
                name = name if name is not None else f"{odd.name}{number}"
                odd.name = name
                self.log_fault("odd object", ascii(name[:40]), f"of {kind}: {label}")
                # No request needs its service: it may be a valid record.
                record = {**self.engines[0].record("127.0.0.1:1"), "service": "other"}
                await self.store.put_raw(kind, name, lambda revision, odd=odd: odd.encode(revision, record))
                await asyncio.sleep(REWRITE_S)
                remaining -= 1
            if name is not None:
                await self.store.remove(kind, name)

    @staticmethod
    def _choose(rng, forms):
        if rng.random() < 1 / 3:
            return "random", random_object(rng)
        group = rng.choice(["deep", "number", "port", "type", "name", "wide", "bytes", "same"])
        label = rng.choice([label for label in forms if label.startswith(group)])
        return label, OddObject(dict(forms[label].members), name=forms[label].name)
