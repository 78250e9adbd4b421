#!/usr/bin/env python3
"""The demonstration: the federation's fleet on loopback, load, a kill and a
planned stop, and the counts. Leaves no process behind."""

import json
import os
import signal
import subprocess
import sys
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "processes"))
from fleet import Fleet, wait_until  # noqa: E402


def main():
    binaries = os.path.abspath(sys.argv[1])
    print("starting platform, 12 engines and 6 nodes in 3 zones")
    with Fleet(binaries) as fleet:
        fleet.roll_out(os.path.join(ROOT, "config", "federation.toml"), "federation-opening")
        print("bundle published, approved and rolled; every engine serves")
        urls = ",".join(node.url for node in fleet.nodes.values())
        load = subprocess.Popen(
            [fleet.binary("saltquay-load"), "--nodes", urls, "--rate", "80", "--duration", "20", "--json"],
            stdout=subprocess.PIPE, text=True)
        time.sleep(6)
        print("killing node 2")
        fleet.nodes[2].send(signal.SIGKILL)
        time.sleep(4)
        print("stopping node 5 as planned")
        fleet.nodes[5].send(signal.SIGTERM)
        code = fleet.nodes[5].wait(60)
        print("node 5 exited with", code)
        report = json.loads(load.communicate(timeout=60)[0])
        starts = fleet.started_work()
        doubled = sum(1 for key, count in starts.items() if "/" in key and count > 1)
        lied = sum(1 for key in report["not_run_keys"] if starts.get(key, 0) > 0)
        print("sent %(sent)d  answered %(answered)d  not run %(not_run)d  unknown %(unknown)d" % report)
        print("wrong %d  doubled %d  'not run' that ran %d" % (report["wrong"], doubled, lied))
        print("cut off %d  no node reached %d" % (report["cut_off"], report["unreachable"]))
        print("first token p50 %.0f ms, p95 %.0f ms" % (report["first_token"]["p50_ms"], report["first_token"]["p95_ms"]))
        wait_until(lambda: fleet.nodes[1].status().get("ready", False), 10, "a node to be ready")
    return 1 if report["wrong"] or doubled or lied or code != 0 else 0


if __name__ == "__main__":
    sys.exit(main())
