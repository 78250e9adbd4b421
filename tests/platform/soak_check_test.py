"""Tests that the soak test detects each kind of violation."""

import argparse
import asyncio
import io
import random
import signal
import tempfile
import time
import unittest

from soak import Soak
from soak_gateway import Gateway
from soak_oracle import KEPT_ROUTES, LIMIT_WINDOW_S, LIMITS, RECOVERY_S, Oracle
from soak_standins import DutyPlatform, Engine, Store
from store_entries_standins import RawStore, odd_objects, random_object


def soak():
    return Soak(argparse.Namespace(seed=1, seconds=1, gateways=1, program=""), "", io.StringIO())


def stream(numbers, request, end=b"0\r\n\r\n"):
    events = b"".join(f"id: {number}\ndata: {request}\n\n".encode() for number in numbers)
    return f"HTTP/1.1 200 OK\r\nX-Server-Stamp: e.{request}\r\n\r\n".encode() + events + end


class SoakCheckTest(unittest.TestCase):
    def test_detects_second_run_of_at_most_once_request(self):
        oracle = Oracle()
        oracle.record_run("r", b"ask r")
        oracle.record_run("r", b"ask r")
        oracle.outcomes["r"] = ("once", "served")
        oracle.check()
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_run_of_refused_request(self):
        oracle = Oracle()
        oracle.record_run("r", b"ask r")
        oracle.outcomes["r"] = ("lone", "refused")
        oracle.check()
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_runs_of_fatal_request_after_third_crash(self):
        oracle = Oracle()
        fatal = oracle.fatal(b"fatal 1")
        fatal.crashes = [1.0, 2.0, 3.0, 7.0]
        fatal.runs = [0.9, 1.9, 2.9, 5.9, 6.1, 6.2, 6.3]
        oracle.check()
        self.assertEqual(oracle.violations, [])
        fatal.runs.append(6.4)
        oracle.check()
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_tenant_over_its_limit_in_a_window(self):
        oracle = Oracle()
        limit = LIMITS["of-requests"]
        allowed = int(limit.max_in_window())
        head = {"x-tenant": "of-requests"}
        for number in range(allowed):
            oracle.record_cost(number * LIMIT_WINDOW_S / allowed, f"r{number}", head)
            oracle.record_cost(number * LIMIT_WINDOW_S / allowed, f"r{number}", head)  # A retry is not counted again.
        oracle.check()
        self.assertEqual(oracle.violations, [])
        oracle.record_cost(LIMIT_WINDOW_S * 0.999, "one more", head)
        oracle.check()
        self.assertEqual(len(oracle.violations), 1)

    def test_counts_tokens_of_each_request(self):
        oracle = Oracle()
        oracle.record_cost(1, "r1", {"x-tenant": "of-tokens", "x-token-count": "300,64"})
        oracle.record_cost(2, "r2", {"x-tenant": "of-tokens"})
        oracle.record_cost(2, "r3", {"x-tenant": "tenant-1"})
        self.assertEqual(oracle.limited["of-tokens"].worst_window(), (364 + LIMITS["of-tokens"].plain, 2))

    def test_detects_limit_refusal_for_tenant_without_limit(self):
        run = soak()
        run.oracle.tenants.update({"r1": "of-tokens", "r2": "tenant-1"})
        over = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(run.judge("safe", "r1", over), "refused")
        self.assertEqual(run.oracle.violations, [])
        run.judge("safe", "r2", over)
        self.assertEqual(len(run.oracle.violations), 1)

    def test_detects_changed_body(self):
        oracle = Oracle()
        oracle.record_run("r", b"ask other")
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_foreign_and_unsigned_responses(self):
        run = soak()
        run.judge("safe", "r1", b"HTTP/1.1 200 OK\r\nX-Server-Stamp: e.r2\r\n\r\ndone r2")
        run.judge("safe", "r1", b"HTTP/1.1 200 OK\r\n\r\ndone r1")
        self.assertEqual(len(run.oracle.violations), 3)

    def test_detects_gaps_and_duplicates_in_streams(self):
        run = soak()
        self.assertEqual(run.judge("chat", "r", stream(range(1, 9), "r")), "served")
        self.assertEqual(run.judge("chat", "r", stream(range(1, 5), "r", b"")), "stream cut")
        self.assertEqual(run.oracle.violations, [])
        run.judge("chat", "r", stream([1, 2, 4, 5, 6, 7, 8], "r"))
        run.judge("chat", "r", stream([1, 2, 2, 3, 4, 5, 6, 7, 8], "r"))
        self.assertGreaterEqual(len(run.oracle.violations), 2)

    def test_detects_late_configuration_at_undisturbed_gateway(self):
        oracle, gateway = Oracle(), argparse.Namespace(name="g", incarnation=1, undisturbed_since=90.0)
        oracle.acknowledged = {1: 100.0}
        oracle.check_generation(gateway, 1, 404, 102.0)  # Not due yet.
        gateway.undisturbed_since = 101.0
        oracle.check_generation(gateway, 1, 404, 103.0)  # Disturbed recently.
        self.assertEqual(oracle.violations, [])
        gateway.undisturbed_since = 90.0
        oracle.check_generation(gateway, 1, 404, 103.0)
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_dropped_route_at_undisturbed_gateway(self):
        oracle, gateway = Oracle(), argparse.Namespace(name="g", incarnation=1, undisturbed_since=90.0)
        oracle.acknowledged = {1: 100.0, 1 + KEPT_ROUTES: 110.0}
        oracle.check_dropped(gateway, 1, 200, 112.0)  # Not due yet.
        oracle.check_dropped(gateway, 1, 404, 113.0)
        oracle.check_generation(gateway, 1, 404, 113.0)  # The route was dropped.
        gateway.undisturbed_since = 111.0
        oracle.check_dropped(gateway, 1, 200, 113.0)  # Disturbed recently.
        self.assertEqual(oracle.violations, [])
        gateway.undisturbed_since = 90.0
        oracle.check_dropped(gateway, 1, 200, 113.0)
        self.assertEqual(len(oracle.violations), 1)
        oracle.check_generation(gateway, 1 + KEPT_ROUTES, 200, 111.0)
        oracle.check_dropped(gateway, 1, 200, 112.0)  # Went back.
        self.assertEqual(len(oracle.violations), 2)

    def test_detects_return_to_older_configuration(self):
        oracle = Oracle()
        oracle.acknowledged = {4: 0.0, 5: 0.0, 6: 0.0}
        gateway = argparse.Namespace(name="g", incarnation=1, undisturbed_since=0.0)
        oracle.check_generation(gateway, 5, 200, 0.0)
        oracle.check_generation(gateway, 6, 404, 0.0)  # Newer than any version seen at this gateway.
        self.assertEqual(oracle.violations, [])
        oracle.check_generation(gateway, 4, 404, 0.0)
        self.assertEqual(len(oracle.violations), 1)
        gateway.incarnation = 2  # A new process may start with an older version.
        oracle.check_generation(gateway, 4, 404, 0.0)
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_unexpected_process_exit(self):
        with tempfile.TemporaryDirectory() as folder:
            gateway = Gateway("", folder, 0, 0, 0, [])
            self.addCleanup(gateway.log.close)
            for code, early, expected in [(0, set(), False), (-signal.SIGKILL, set(), False), (1, set(), True),
                                          (-signal.SIGSEGV, {signal.SIGTERM}, True), (-signal.SIGTERM, set(), True),
                                          (-signal.SIGTERM, {signal.SIGTERM}, False)]:
                gateway.process, gateway.early_signals = argparse.Namespace(returncode=code), early
                self.assertEqual(gateway.exited_unexpectedly(), expected, (code, early))

    def test_signal_is_early_until_process_writes_to_its_log(self):
        with tempfile.TemporaryDirectory() as folder:
            gateway = Gateway("sleep", folder, 0, 0, 0, [])
            self.addCleanup(gateway.log.close)
            gateway.process = argparse.Namespace(poll=lambda: None, send_signal=lambda number: None)
            gateway.send(signal.SIGTERM)
            gateway.log.write(b"a line\n")
            gateway.log.flush()
            gateway.send(signal.SIGHUP)
            self.assertEqual(gateway.early_signals, {signal.SIGTERM})

    def test_detects_too_few_requests_served(self):
        oracle = Oracle()
        oracle.counts = {"served": 25, "refused": 75}
        oracle.check()
        self.assertEqual(oracle.violations, [])
        oracle.counts["refused"] += 1
        oracle.check()
        self.assertEqual(len(oracle.violations), 1)

    def test_refusals_count_unless_no_gateway_could_have_a_configuration(self):
        oracle, store = Oracle(), Store()
        gateways = [argparse.Namespace(name=name, incarnation=1) for name in ("a", "b")]
        store.set_available(False)
        self.assertTrue(oracle.no_configuration_known(gateways, store))
        oracle.record_outcome("r", "safe", "served", gateways[0], 1)
        self.assertFalse(oracle.no_configuration_known(gateways, store))
        gateways[0].incarnation = 2
        self.assertTrue(oracle.no_configuration_known(gateways, store))
        store.set_available(True)
        store.responding_since -= RECOVERY_S
        store.set_available(True)  # Must not reset the time since which it responds.
        self.assertFalse(oracle.no_configuration_known(gateways, store))

    def test_slow_gateways_take_no_time_from_the_others(self):
        soak_run, asked = soak(), {}
        soak_run.gateways = ["a", "b", "c", "d"]

        async def answer_late(gateway, *_):
            await asyncio.sleep(0.3)
            asked[gateway] = asked.get(gateway, 0) + 1
            return 200 if asked[gateway] > 1 else 504

        soak_run.status_of = answer_late
        self.assertTrue(asyncio.run(soak_run.is_served_everywhere("of-tokens", time.monotonic() + 1.5)))
        self.assertEqual(asked, dict.fromkeys(soak_run.gateways, 2))

    def test_detects_gateway_that_never_serves_a_tenant(self):
        soak_run = soak()
        soak_run.gateways = ["a", "b"]

        async def response(gateway, *_):
            return 200 if gateway == "a" else 429

        soak_run.status_of = response
        self.assertFalse(asyncio.run(soak_run.is_served_everywhere("of-tokens", time.monotonic() + 0.5)))

    def test_detects_two_holders_of_one_fencing_token(self):
        oracle = Oracle()
        engine = Engine("e", "model", "decode", oracle, random.Random(1))
        engine.fence = (5, "a")
        engine._order({"fencing_token": 5, "holder": "b", "expect_revision": 9, "stage": "prefill"})
        self.assertEqual(len(oracle.violations), 1)

    def test_detects_forwarded_key_and_wrong_tenant(self):
        oracle = Oracle()
        oracle.tenants["r"] = "tenant-1"
        oracle.check_headers("r", {"x-tenant": "tenant-1"})
        self.assertEqual(oracle.violations, [])
        oracle.check_headers("r", {"x-tenant": "tenant-1", "x-other": "secret-of-1"})
        oracle.check_headers("r", {"x-tenant": "tenant-2"})
        oracle.check_headers("r", {})
        self.assertEqual(len(oracle.violations), 3)

    def test_detects_differing_usage_reports_and_two_holders_of_one_duty_token(self):
        oracle = Oracle()
        platform = DutyPlatform(oracle, random.Random(1))
        head = {"x-fencing-token": "5", "x-duty-holder": "a"}
        self.assertEqual(platform.accept_report(head, {"window_number": 7, "counts": {"t": 1}}), 200)
        self.assertEqual(platform.accept_report(head, {"window_number": 7, "counts": {"t": 1}}), 200)
        self.assertEqual(oracle.violations, [])
        platform.accept_report(head, {"window_number": 7, "counts": {"t": 2}})
        platform.accept_report({**head, "x-duty-holder": "b"}, {"window_number": 8, "counts": {}})
        self.assertEqual(len(oracle.violations), 2)
        older = {**head, "x-fencing-token": "4"}
        self.assertEqual(platform.accept_report(older, {"window_number": 9, "counts": {}}), 409)

    def test_store_sends_odd_objects_as_they_are_and_pages_end(self):
        async def run():
            store = RawStore(page_size=2)
            for index, (label, odd) in enumerate(odd_objects().items()):
                if index % 10 == 0 or label.startswith(("name", "number")):
                    await store.put_raw("servers", odd.name, lambda revision, odd=odd: odd.encode(revision, {"slots": 8}))
            await store.put("servers", "last", {"slots": 8})
            names, after = [], None
            while True:
                page = store.page("servers", after)
                names.append(page)
                more = sorted(name for _, name in store.objects if after is None or name > after)
                if b'"more":false' in page:
                    return names, store
                after = more[1]

        pages, store = asyncio.run(run())
        self.assertEqual(len(pages), (len(store.objects) + 1) // 2)
        self.assertTrue(b'"name": "last"' in b"".join(pages))
        self.assertTrue("a\u011f-yedek-5c10".encode() in b"".join(pages))

    def test_odd_objects_depend_on_the_seed_alone(self):
        first, second = [[random_object(rng).encode(1, {}) for _ in range(20)] for rng in (random.Random(5), random.Random(5))]
        self.assertEqual(first, second)

    def test_other_writer_takes_back_what_it_wrote(self):
        async def run():
            running = soak()
            engine = Engine("e", "plain", None, running.oracle, running.rng)
            running.engines.append(engine)
            await running.write_odd_objects(time.monotonic() + 2.2)
            return running.store

        store = asyncio.run(run())
        self.assertGreater(len(store.events), 5)
        self.assertEqual(store.objects, {})


if __name__ == "__main__":
    unittest.main()
