"""Random histories of a store that is restored from older copies."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.flow import store_history

PROCESSES = 3
SERVERS = 4
process_numbers = st.integers(0, PROCESSES - 1)
server_numbers = st.integers(1, SERVERS)


class HistoryMachine(stateful.RuleBasedStateMachine):
    """The oracle is what the store has confirmed to operator and servers.

    Guards against a configuration or a drain that goes back, against one
    that is not in force in time, and against reads without end.
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
