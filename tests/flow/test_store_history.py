"""Random histories of a store that is restored from older copies."""

import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.flow import store_history

PROCESSES = 3
SERVERS = 4
process_numbers = st.integers(0, PROCESSES - 1)
server_numbers = st.integers(1, SERVERS)
domains = st.sampled_from([*store_history.DOMAINS, "mel"])


class HistoryMachine(stateful.RuleBasedStateMachine):
    """The oracle is what the store has confirmed to operator and servers.

    Guards against a configuration, a drain or an order that goes back,
    against one that is not in force in time, against a withdrawal without
    effect, and against reads without end.
    """

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.world = store_history.World(
            seed, processes=PROCESSES, servers=SERVERS
        )

    @stateful.rule(duration_ms=st.sampled_from([300, 1500, 6000]))
    def wait(self, duration_ms):
        self.world.run(duration_ms)

    @stateful.rule()
    def change_config(self):
        self.world.change_config()
        self.world.run(200)

    @stateful.rule(number=server_numbers)
    def drain(self, number):
        self.world.drain_server(number)
        self.world.run(200)

    @stateful.rule(domain=domains, is_in_force=st.booleans())
    def order(self, domain, is_in_force):
        self.world.order(domain, is_in_force=is_in_force)
        self.world.run(200)

    @stateful.rule(domain=domains)
    def order_before_the_store_fails(self, domain):
        self.world.order(domain, is_in_force=True)
        self.world.run(100)
        self.world.set_up(False)
        self.world.run(100)

    @stateful.rule(number=server_numbers)
    def crash(self, number):
        self.world.servers[number].alive = False

    @stateful.rule(number=server_numbers)
    def start_server_again(self, number):
        self.world.start_server(number)
        self.world.run(100)

    @stateful.rule(
        age=st.sampled_from([3, 20, 60, 120]),
        down_ms=st.sampled_from([100, 1500, 4000]),
    )
    def restore(self, age, down_ms):
        self.world.set_up(False)
        self.world.run(down_ms)
        self.world.store.restore(age)
        self.world.set_up(True)

    @stateful.rule(up=st.booleans())
    def set_up(self, up):
        if up != self.world.store.up:
            self.world.set_up(up)

    @stateful.rule(number=process_numbers, connected=st.booleans())
    def set_connected(self, number, connected):
        if number in self.world.processes:
            self.world.set_connected(number, connected)

    @stateful.rule(number=process_numbers)
    def restart_process(self, number):
        self.world.kill_process(number)
        self.world.start_process(number)

    def teardown(self):
        if hasattr(self, "world"):
            try:
                self.world.settle()
            finally:
                self.world.close()


HistoryMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestHistories = HistoryMachine.TestCase


@contextlib.contextmanager
def world(**kwargs):
    result = store_history.World(1, **kwargs)
    try:
        yield result
    finally:
        result.close()


def evacuated(here):
    """Return the evacuated domains of each process."""
    return [
        process.evacuations.domains() for process in here.processes.values()
    ]


def restore(here, age):
    here.set_up(False)
    here.run(500)
    here.store.restore(age)
    here.set_up(True)


def test_an_order_that_a_restore_loses_stays_in_force():
    """Flows opened in the domain until the operator wrote it again."""
    with world() as here:
        here.order("bne", is_in_force=True)
        here.run(4000)
        restore(here, 60)
        here.orders_after_ms = here.now_ms + 30_000
        here.run(20_000)
        assert evacuated(here) == [["bne"]] * 3
        here.settle()


def test_a_withdrawal_that_a_restore_loses_stays_in_force():
    with world() as here:
        here.order("bne", is_in_force=True)
        here.run(4000)
        here.order("bne", is_in_force=False)
        here.run(4000)
        restore(here, 60)
        here.orders_after_ms = here.now_ms + 3000
        here.run(20_000)
        assert evacuated(here) == [[]] * 3


def test_an_order_that_a_restored_store_goes_on_to_list_is_in_force():
    with world() as here:
        here.order("bne", is_in_force=True)
        here.run(4000)
        here.order("bne", is_in_force=False)
        here.run(4000)
        restore(here, 60)
        here.order("bne", is_in_force=True)
        here.run(store_history.HOLD_MS - 500)
        assert evacuated(here) == [[]] * 3
        here.run(2000 + store_history.WATCH_WAIT_MS)
        assert evacuated(here) == [["bne"]] * 3


@pytest.mark.parametrize("is_in_force", [True, False])
def test_a_process_that_is_cut_from_the_store_learns_from_peers(is_in_force):
    """It opened flows in the domain until the cut ended."""
    with world() as here:
        if not is_in_force:
            here.order("bne", is_in_force=True)
            here.run(4000)
        here.set_connected(0, False)
        here.run(1000)
        here.order("bne", is_in_force=is_in_force)
        here.run(store_history.CHANGE_MS + store_history.PEER_MS)
        assert evacuated(here) == [["bne"] if is_in_force else []] * 3
        here.settle()


def test_an_order_before_the_store_fails_reaches_all_through_peers():
    """The store is silent before most processes were told."""
    with world() as here:
        for number in (1, 2):
            here.set_connected(number, False)
        here.run(1000)
        here.order("bne", is_in_force=True)
        here.run(1300)
        here.set_up(False)
        here.run(store_history.PEER_MS)
        assert evacuated(here) == [["bne"]] * 3
        here.settle()


def test_processes_that_were_killed_take_the_order_from_a_peer():
    """The store is down; only one process keeps the order."""
    with world() as here:
        here.order("bne", is_in_force=True)
        here.run(4000)
        here.set_up(False)
        for number in (1, 2):
            here.kill_process(number)
            here.start_process(number)
            assert not here.processes[number].core.can_place_flows
        here.run(store_history.PEER_MS)
        assert evacuated(here) == [["bne"]] * 3
        here.settle()


def test_all_processes_are_killed_during_an_evacuation():
    """Without store and peers nothing opens; then the order is read."""
    with world() as here:
        here.order("bne", is_in_force=True)
        here.run(4000)
        here.set_up(False)
        for number in list(here.processes):
            here.kill_process(number)
            here.start_process(number)
        here.run(5000)
        for process in here.processes.values():
            assert process.domains_of_new_flows() == set()
        here.set_up(True)
        for _ in range(20):
            here.run(100)
            for process in here.processes.values():
                assert "bne" not in process.domains_of_new_flows()
        here.settle()
