"""Random faults in any order, checked against a simple oracle."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks import control_fleet
from cyclamenridge.config import document as document_lib

NODES = 6
IN_FORCE_MS = 3000
node_numbers = st.integers(1, NODES)


class FaultMachine(stateful.RuleBasedStateMachine):
    """The oracle is the highest revision that a running node has.

    Guards against a node that replaces a revision by an older one, against
    one that lacks the newest revision 3 s after all faults ended, and
    against a file that the store confirmed last and that is not in force
    afterwards, also if the store had been restored from an older copy.

    :ivar confirmed: the document that an operator applied last, None if the
        store was restored since
    :ivar copies: documents that the store can be restored to
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def start_fleet(self, seed):
        self.fleet = control_fleet.Fleet(seed)
        self.nodes = self.fleet.grow(NODES)
        self.last_incarnation = 1
        self.applied_count = 1
        self.confirmed = control_fleet.document(1)
        self.copies = [self.confirmed]
        self.fleet.apply(self.confirmed)
        self.fleet.run(6000)

    def node(self, number):
        return self.fleet.nodes[f"bal-{number:03}"]

    @stateful.rule()
    def apply(self):
        if self.fleet.store.up:
            self.applied_count += 1
            self.confirmed = document_lib.successor(
                self.fleet.store.document,
                body=f"file: {self.applied_count}\n",
                apply_id=f"applied-{self.applied_count}",
            )
            self.copies.append(self.confirmed)
            self.fleet.apply(self.confirmed)

    @stateful.rule(
        groups=st.lists(
            st.integers(0, 2), min_size=NODES + 1, max_size=NODES + 1
        ),
        one_way=st.booleans(),
    )
    def partition(self, groups, one_way):
        def group_of(node):
            return groups[int(node.name[-3:])]

        def is_cut(src, dst):
            a, b = group_of(src), group_of(dst)
            return a < b if one_way else a != b

        self.fleet.is_link_cut = is_cut
        self.fleet.is_store_cut = lambda node: group_of(node) == groups[0]

    @stateful.rule(duration_ms=st.sampled_from([300, 2000, 12_000]))
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @stateful.rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def set_packet_loss(self, loss):
        self.fleet.loss = loss

    @stateful.rule()
    def stop_store(self):
        self.fleet.store.up = False
        self.fleet.break_watches()

    @stateful.rule(lag_ms=st.sampled_from([3, 5000]))
    def start_store(self, lag_ms):
        self.fleet.store.up = True
        self.fleet.store.watch_lag_ms = lag_ms

    @stateful.rule(age=st.integers(1, 3), applies=st.booleans())
    def restore_old_document(self, age, applies):
        if age < len(self.copies):
            self.fleet.store.document = self.copies[-1 - age]
            self.fleet.store.mod_revision += 7
            self.confirmed = None
            self.fleet.break_watches()
            if applies:
                self.apply()

    @stateful.rule(number=node_numbers)
    def restart(self, number):
        self.last_incarnation += 1
        self.fleet.kill(self.node(number))
        self.nodes.append(
            self.fleet.add(
                f"bal-{number:03}", number, incarnation=self.last_incarnation
            )
        )

    @stateful.rule(
        number=node_numbers, duration_ms=st.sampled_from([500, 4000, 9000])
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
        fleet.is_link_cut = lambda src, dst: False
        fleet.is_store_cut = lambda node: False
        fleet.loss = 0.0
        fleet.store.up = True
        # Documents that were in transit when the faults ended may still
        # arrive, so the newest revision is determined while waiting.
        fleet.until(
            lambda: fleet.all_hold(self.newest_revision()), IN_FORCE_MS
        )
        fleet.until(
            lambda: fleet.store.document.revision == self.newest_revision(),
            3 * IN_FORCE_MS,
        )
        # The revisions are also equal while a file of a restored store is
        # not renumbered yet, so the documents are compared.
        fleet.until(self.all_hold_the_stored_document, IN_FORCE_MS)
        assert fleet.all_hold(self.newest_revision())
        if self.confirmed is not None:
            assert fleet.store.document.apply_id == self.confirmed.apply_id
            assert fleet.store.document.body == self.confirmed.body

    def all_hold_the_stored_document(self):
        documents = {node.plane.document for node in self.fleet.live()}
        return documents == {self.fleet.store.document}

    def newest_revision(self):
        documents = [node.plane.document for node in self.fleet.live()]
        documents.append(self.fleet.store.document)
        return max(doc.revision for doc in documents if doc is not None)

    @stateful.invariant()
    def revisions_increase(self):
        for node in getattr(self, "nodes", ()):
            revisions = [revision for _, revision in node.adopted]
            assert revisions == sorted(set(revisions))

    def teardown(self):
        if hasattr(self, "fleet"):
            self.heal()
            assert self.fleet.max_window_bytes() <= 40_000
            self.revisions_increase()


FaultMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFaults = FaultMachine.TestCase
