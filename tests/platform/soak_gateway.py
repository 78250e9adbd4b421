"""Gateway processes of the soak."""

import json
import os
import random
import signal
import socket
import subprocess
import time

from soak_truth import LIMIT_OVERAGE, LIMIT_SLACK, LIMIT_WINDOW_S

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


class Gateway:
    def __init__(self, program, folder, index, store_port, duties_port, seeds):
        self.program, self.name = program, f"node-{index}"
        self.client, self.ready, self.peer = free_port(), free_port(), free_port()
        self.path = os.path.join(folder, f"{self.name}.toml")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.store_port, self.duties_port = store_port, duties_port
        self.process, self.seeds, self.life = None, seeds, 0
        self.log_at_start, self.early_signals = 0, set()
        self.calm_since = time.monotonic()

    def disturb(self):
        """Something that takes it out of touch for a while began, goes on, or has just ended."""
        self.calm_since = time.monotonic()

    def start(self):
        self.life += 1
        self.disturb()
        self.log_at_start, self.early_signals = self.log_size(), set()
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f'node_name = "{self.name}"\nzone = "a"\nclient_listen = "127.0.0.1:{self.client}"\n'
                       f'ready_listen = "127.0.0.1:{self.ready}"\npeer_listen = "127.0.0.1:{self.peer}"\n'
                       f'peer_seeds = {json.dumps(self.seeds)}\nstore_address = "127.0.0.1:{self.store_port}"\n'
                       "[bounds]\ngrace_s = 4\nlease_ms = 1000\nretry_budget_slack = 50\n"
                       f"limit_window_s = {LIMIT_WINDOW_S}\nlimit_overage = {LIMIT_OVERAGE}\n"
                       f"limit_slack = {LIMIT_SLACK}\n"
                       f'[duties]\naddress = "127.0.0.1:{self.duties_port}"\ncalls = ["usage"]\nreport_window_s = 2\n')
        self.process = subprocess.Popen([self.program, "--settings", self.path], stdout=self.log, stderr=self.log)

    def log_size(self):
        return os.fstat(self.log.fileno()).st_size

    def send(self, number):
        self.disturb()
        if self.process.poll() is None:
            if self.log_size() == self.log_at_start:
                self.early_signals.add(number)
            self.process.send_signal(number)

    def ended_by_itself(self):
        """Whether the process has ended and not by a signal of the soak's. One that has not written a line yet may not
        have come to handling signals: then SIGTERM and SIGHUP end it as they end any process."""
        number = -self.process.returncode
        return number not in (0, signal.SIGKILL) and number not in self.early_signals
