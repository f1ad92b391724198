"""Random faults in any order, checked against a simple oracle."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks import control_fleet

NODES = 6
IN_FORCE_MS = 3000
numbers = st.integers(1, NODES)


class FaultMachine(stateful.RuleBasedStateMachine):
    """The oracle is the highest revision that a running node has.

    Guards against a revision in force that goes back, and against a node
    that does not have the newest one 3 s after everything healed.
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.fleet = control_fleet.Fleet(seed)
        self.nodes = self.fleet.grow(NODES)
        self.started = 1
        self.applied = 1
        self.fleet.apply(control_fleet.document(1))
        self.fleet.run(6000)

    def node(self, number):
        return self.fleet.nodes[f"bal-{number:03}"]

    @stateful.rule()
    def apply(self):
        if self.fleet.store.up:
            self.applied += 1
            self.fleet.apply(control_fleet.document(self.applied))

    @stateful.rule(
        groups=st.lists(
            st.integers(0, 2), min_size=NODES + 1, max_size=NODES + 1
        ),
        one_way=st.booleans(),
    )
    def cut(self, groups, one_way):
        def side(node):
            return groups[int(node.name[-3:])]

        def is_cut(src, dst):
            a, b = side(src), side(dst)
            return a < b if one_way else a != b

        self.fleet.cut = is_cut
        self.fleet.store_cut = lambda node: side(node) == groups[0]

    @stateful.rule(duration_ms=st.sampled_from([300, 2000, 12_000]))
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @stateful.rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def lose(self, loss):
        self.fleet.loss = loss

    @stateful.rule()
    def store_down(self):
        self.fleet.store.up = False
        self.fleet.break_watches()

    @stateful.rule(lag_ms=st.sampled_from([3, 5000]))
    def store_up(self, lag_ms):
        self.fleet.store.up = True
        self.fleet.store.watch_lag_ms = lag_ms

    @stateful.rule(revision=st.integers(1, 3))
    def store_restored(self, revision):
        if revision < self.applied:
            self.fleet.store.document = control_fleet.document(revision)
            self.fleet.store.mod_revision += 7
            self.fleet.break_watches()

    @stateful.rule(number=numbers)
    def restart(self, number):
        self.started += 1
        self.fleet.kill(self.node(number))
        self.nodes.append(
            self.fleet.add(
                f"bal-{number:03}", number, incarnation=self.started
            )
        )

    @stateful.rule(
        number=numbers, duration_ms=st.sampled_from([500, 4000, 9000])
    )
    def pause(self, number, duration_ms):
        if not self.node(number).paused:
            self.fleet.pause(self.node(number), duration_ms)

    @stateful.rule()
    def heal(self):
        fleet = self.fleet
        # Pauses end by themselves; the other faults are ended after that.
        fleet.until(
            lambda: not any(n.paused for n in fleet.nodes.values()), 10_000
        )
        fleet.cut = lambda src, dst: False
        fleet.store_cut = lambda node: False
        fleet.loss = 0.0
        fleet.store.up = True
        # Documents that were in transit when the faults ended may still
        # arrive, so the newest revision is determined while waiting.
        fleet.until(lambda: fleet.all_hold(self.newest()), IN_FORCE_MS)
        fleet.until(
            lambda: fleet.store.document.revision == self.newest(),
            3 * IN_FORCE_MS,
        )
        assert fleet.all_hold(self.newest())

    def newest(self):
        held = [node.plane.document for node in self.fleet.live()]
        held.append(self.fleet.store.document)
        return max(doc.revision for doc in held if doc is not None)

    @stateful.invariant()
    def never_back(self):
        for node in getattr(self, "nodes", ()):
            revisions = [revision for _, revision in node.adopted]
            assert revisions == sorted(set(revisions))

    def teardown(self):
        if hasattr(self, "fleet"):
            self.heal()
            assert self.fleet.max_window_bytes() <= 40_000
            self.never_back()


FaultMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFaults = FaultMachine.TestCase
