"""Test oracle of the soak test: records what clients and engines observed, and checks the invariants."""

import asyncio
import dataclasses

ROUTES = {"once": ("unsafe", "plain", 1), "safe": ("safe", "plain", 2), "chat": ("streaming", "model", 2),
          "lone": ("streaming", "model", 1)}
TENANTS = {f"tenant-{index}": f"secret-of-{index}" for index in range(4)}
UNKNOWN_KEY = "secret-of-nobody"
LIMIT_WINDOW_S, LIMIT_OVERAGE, LIMIT_SLACK = 4, 0.1, 40  # The gateways' tolerance settings.
DETECTION_S = 3  # Time in which undisturbed gateways learn of the third crash; APPLY_S holds after it.
RECOVERY_S = 1  # Time of responses of the store after which restarted gateways have to serve again.
KEPT_ROUTES = 6  # A configuration drops the route that was added so many generations before.
APPLY_S = 2.3  # Seconds from a configuration's acknowledgement until it is in force; includes 0.3 s for the soak test.


@dataclasses.dataclass(frozen=True)
class Limit:
    """A tenant's limit over all gateways. Its unit is tokens if `plain` is set, the cost of a request without a token
    count; otherwise requests."""
    rate: int
    burst: int
    plain: int = 0

    def spec(self):
        tokens = {"unit": "tokens", "plain_tokens": self.plain} if self.plain else {}
        return {"rate_per_s": self.rate, "burst": self.burst, **tokens}

    def cost(self, headers):
        if not self.plain:
            return 1
        counts = headers.get("x-token-count")
        return sum(int(count) for count in counts.split(",")) if counts else self.plain

    def plain_cost(self):
        """Units of a request without a token count."""
        return self.plain or 1

    def max_in_window(self):
        return (self.rate * LIMIT_WINDOW_S + self.burst) * (1 + LIMIT_OVERAGE) + LIMIT_SLACK


LIMITS = {"of-tokens": Limit(80, 40, plain=3), "of-requests": Limit(20, 10)}
LIMITED_TENANTS = {name: f"secret-of-{name}" for name in LIMITS}


class LimitedRuns:
    """Requests of a tenant with a limit that engines ran; each request is counted once, at its first run."""

    def __init__(self, limit):
        self.limit, self.requests, self.costs = limit, set(), []  # Costs: (time, units) in chronological order.

    def record_run(self, at, request, headers):
        if request not in self.requests:
            self.requests.add(request)
            self.costs.append((at, self.limit.cost(headers)))

    def worst_window(self):
        """Returns the maximum number of units in any window, and the end of that window."""
        worst, sum_of_window, first = (0, 0), 0, 0
        for at, cost in self.costs:
            sum_of_window += cost
            while self.costs[first][0] <= at - LIMIT_WINDOW_S:
                sum_of_window -= self.costs[first][1]
                first += 1
            worst = max(worst, (sum_of_window, at))
        return worst


class Fatal:
    """A request that crashes every engine that runs it: times at which it reached engines, and times of crashes."""

    def __init__(self):
        self.runs, self.crashes = [], []

    def later_runs(self):
        return [at for at in self.runs if len(self.crashes) >= 3 and at > self.crashes[2] + DETECTION_S]


class Oracle:
    """Records which requests engines ran and which responses clients received, and collects violations."""

    def __init__(self):
        self.runs, self.outcomes, self.violations, self.counts = {}, {}, [], {}
        self.publish_engine = self.crash_engine = None
        self.engines = []  # Running engines.
        self.fatals = {}  # body -> Fatal
        self.tenants = {}  # request -> tenant of its client's key; None for an unknown key.
        self.limited = {name: LimitedRuns(limit) for name, limit in LIMITS.items()}
        self.over_limit = dict.fromkeys(LIMITS, 0)  # Requests refused with 429.
        self.newest = {}  # (gateway, incarnation) -> newest generation seen in force.
        self.acknowledged = {}  # generation -> when the store acknowledged it.
        self.served_incarnations = set()  # (gateway, incarnation) pairs that have served a request.
        self.refused_unconfigured = 0  # Requests refused while no gateway could have a configuration.
        self.late_responses = 0  # Responses that engines sent once more.

    def record_run(self, request, body):
        self.runs[request] = self.runs.get(request, 0) + 1
        if body != f"ask {request}".encode():
            self.violations.append(f"{request}: ran with another body")

    def fatal(self, body):
        return self.fatals.setdefault(body, Fatal())

    def check_headers(self, request, headers):
        """Checks the tenant that the engine received, and that it did not receive the key."""
        if any("secret-of" in value for value in headers.values()):
            self.violations.append(f"{request}: the API key was forwarded to an engine")
        if request in self.tenants and headers.get("x-tenant") != self.tenants[request]:
            self.violations.append(f"{request}: run for {headers.get('x-tenant')}, expected {self.tenants[request]}")

    def record_cost(self, at, request, headers):
        """Counts a request that an engine runs, if its tenant has a limit."""
        runs = self.limited.get(headers.get("x-tenant"))
        if runs:
            runs.record_run(at, request, headers)

    def refused_by_limit(self, request):
        tenant = self.tenants.get(request)
        if tenant in LIMITS:
            self.over_limit[tenant] += 1
        else:
            self.violations.append(f"{request}: refused by a limit, but tenant {tenant} has none")

    async def publish_stage_change(self, engine):
        await asyncio.sleep(0.5)
        await self.publish_engine(engine)

    def check_dropped(self, gateway, generation, status, asked):
        """Checks the response for a route that was dropped KEPT_ROUTES after `generation` added it: 200 means that the
        gateway serves an older one."""
        dropped_by = generation + KEPT_ROUTES
        late = asked - self.acknowledged[dropped_by]
        if status == 200 and late > APPLY_S and asked - gateway.undisturbed_since > DETECTION_S:
            self.violations.append(f"{gateway.name}: runs a route {late:.2f} s after generation {dropped_by} dropped it, "
                                   f"{asked - gateway.undisturbed_since:.1f} s after the last fault")
        if status == 200 and dropped_by <= self.newest.get((gateway.name, gateway.incarnation), 0):
            self.violations.append(f"{gateway.name}: went back before generation {dropped_by}")

    def check_generation(self, gateway, generation, status, asked):
        """Checks the response for a route added by `generation`: 404 means that the gateway serves an older one, or one
        that dropped the route."""
        if status == 404 and generation + KEPT_ROUTES in self.acknowledged:
            return
        late = asked - self.acknowledged[generation]
        if status == 404 and late > APPLY_S and asked - gateway.undisturbed_since > DETECTION_S:
            self.violations.append(f"{gateway.name}: generation {generation} is not in force {late:.2f} s after its "
                                   f"acknowledgement, {asked - gateway.undisturbed_since:.1f} s after the last fault")
        newest = self.newest.get((gateway.name, gateway.incarnation), 0)
        if status == 404 and generation <= newest:
            self.violations.append(f"{gateway.name}: went back before generation {generation}, had served {newest}")
        if status == 200:
            self.newest[(gateway.name, gateway.incarnation)] = max(newest, generation)

    def check_limits(self):
        for name, runs in self.limited.items():
            most, at = runs.worst_window()
            if most > runs.limit.max_in_window():
                self.violations.append(f"tenant {name}: {most} units ran in the {LIMIT_WINDOW_S} s until {at:.2f}, "
                                       f"{runs.limit.max_in_window():.0f} allowed")

    def record_outcome(self, request, route, outcome, gateway, incarnation):
        """Records a client's outcome. `incarnation`: the gateway's when the request was sent."""
        self.outcomes[request] = (route, outcome)
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        if outcome == "served":
            self.served_incarnations.add((gateway.name, incarnation))

    def no_configuration_known(self, gateways, store):
        """Returns whether all gateways have restarted without serving a request since, and the store has not responded
        for RECOVERY_S."""
        return not store.has_responded_for(RECOVERY_S) and not any(
            (gateway.name, gateway.incarnation) in self.served_incarnations for gateway in gateways)

    def check_served(self):
        served, total = self.counts.get("served", 0), sum(self.counts.values()) - self.refused_unconfigured
        if served * 4 < total:
            self.violations.append(f"{served} of {total} requests were served, besides {self.refused_unconfigured} "
                                   "refused while no gateway could have a configuration")

    def check(self):
        self.check_limits()
        self.check_served()
        for body, fatal in self.fatals.items():
            later = fatal.later_runs()
            if len(later) > 3:
                self.violations.append(f"{body.decode()}: {len(later)} runs over {DETECTION_S} s after its third "
                                       f"crash, {len(fatal.crashes)} engines crashed")
        for request, (route, outcome) in self.outcomes.items():
            runs = self.runs.get(request, 0)
            allowed = ROUTES[route][2]
            if runs > allowed:
                self.violations.append(f"{request}: {route} ran {runs} times, {allowed} allowed")
            if outcome == "refused" and allowed == 1 and runs:
                self.violations.append(f"{request}: refused, but an engine ran it")
