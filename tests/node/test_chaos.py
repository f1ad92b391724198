"""Stateful test of all guarantees of the core under random faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.node import chaos as chaos_lib

durations = strategies.integers(1, 400)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against faulty interleavings that no other test covers.

    The oracle checks runs, outcomes, answers and events as they happen, and
    each feed at the end, after the network has healed.
    """

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.chaos = chaos_lib.Chaos(seed, nodes=3 + seed % 2)

    def teardown(self):
        if hasattr(self, "chaos"):
            self.chaos.settle()

    @stateful.rule(count=strategies.integers(1, 8), duration_ms=durations)
    def requests(self, count, duration_ms):
        for _ in range(count):
            self.chaos.send_request()
        self.chaos.advance(duration_ms)

    @stateful.rule(duration_ms=durations)
    def subscribe(self, duration_ms):
        self.chaos.subscribe()
        self.chaos.advance(duration_ms)

    @stateful.rule(
        name=strategies.sampled_from(
            [name for name, _ in chaos_lib.Chaos.STEPS]
        ),
        duration_ms=durations,
    )
    def fault(self, name, duration_ms):
        getattr(self.chaos, name)()
        self.chaos.advance(duration_ms)

    @stateful.rule(duration_ms=strategies.integers(400, 5000))
    def wait(self, duration_ms):
        self.chaos.advance(duration_ms)

    @stateful.rule()
    def heal(self):
        self.chaos.heal()


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
