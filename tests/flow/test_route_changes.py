"""Open flows while balancers learn of added and dropped routes one by one."""

import random

import pytest

from cyclamenridge.flow import effects
from cyclamenridge.flow import reachability
from cyclamenridge.flow import routes
from tests.flow import builders

SERVERS = [builders.server_entry(number, slots=1000) for number in range(1, 5)]
FEED, PUSH = builders.FEED_PORT, builders.PUSH_PORT


def table(version, *ports):
    """Return a configuration with the routes of some ports."""
    return routes.RouteTable(
        version,
        {
            key: route
            for key, route in builders.CONFIG.routes.items()
            if key[1] in ports
        },
        builders.CONFIG.services,
        builders.CONFIG.idle_ms,
    )


def make_core(config, seed=1):
    return builders.make_core(*SERVERS, seed=seed, config=config)


def events(core):
    return [event for event, _ in core._log.events]


def test_a_flow_on_an_added_route_survives_at_a_balancer_that_lags():
    """Open flows on a new route were reset by balancers without the route."""
    ahead = make_core(table(5, FEED, PUSH))
    behind = make_core(table(4, FEED), seed=2)
    starting = make_core(None, seed=3)
    flow = builders.Flow(ahead, port=PUSH)
    forward = flow.open(0)
    for now_ms, core in enumerate((behind, ahead, starting, behind), 10):
        flow.core = core
        assert flow.request(now_ms) == (forward,)
        assert flow.acknowledge(now_ms) == (forward,)
    assert events(behind) == ["route_unknown"]
    behind.configure(table(5, FEED, PUSH))
    assert flow.request(50) == (forward,)
    assert behind.configure(table(6, FEED))
    assert flow.request(60) == effects.RESET


def test_a_flow_on_a_dropped_route_is_reset_once_the_store_confirms_it():
    """A balancer that has not seen the flow can't date its opening."""
    first = make_core(table(4, FEED, PUSH))
    flow = builders.Flow(first, port=PUSH)
    forward = flow.open(0)
    flow.core = make_core(table(5, FEED), seed=2)
    flow.core.confirm_configuration(90)
    assert flow.request(100) == (forward,)
    flow.core.confirm_configuration(100)
    assert flow.request(110) == (forward,)
    flow.core.confirm_configuration(101)
    assert flow.request(120) == effects.RESET
    assert events(flow.core) == ["route_unknown", "route_dropped"]


@pytest.mark.parametrize("source", ["peer", "stale read"])
def test_a_configuration_that_may_be_outdated_resets_no_flow(source):
    """The route may have been added again after that configuration."""
    core = make_core(table(4, FEED, PUSH))
    flow = builders.Flow(core, port=PUSH)
    forward = flow.open(0)
    core.confirm_configuration(50)
    assert core.configure(table(5, FEED), is_current=False)
    assert flow.request(100) == (forward,), source
    core.confirm_configuration(150)
    assert flow.request(200) == effects.RESET


def test_a_retransmitted_syn_without_a_route_is_not_reset():
    """The balancer that got the first SYN may know the route."""
    core = make_core(table(4, FEED))
    flow = builders.Flow(core, port=PUSH)
    assert flow.syn(200, retransmission=1) == effects.DROP
    assert builders.Flow(core, port=PUSH).syn(201) == effects.RESET
    assert core.counters["retransmissions_without_route"] == 1
    assert core.counters["flows_without_route"] == 1


def test_a_syn_without_a_route_that_is_read_late_is_not_reset():
    """Its client may have sent retransmissions to other balancers."""
    core = make_core(table(4, FEED))
    core.reachability.record_activity(0)
    flow = builders.Flow(core, port=PUSH)
    late_ms = reachability.MIN_DELAY_MS + 1
    assert flow.syn(late_ms) == effects.DROP


def test_a_syn_whose_route_was_dropped_is_refused_at_once():
    core = make_core(table(4, FEED, PUSH))
    flow = builders.Flow(core, port=PUSH)
    assert builders.forwards(flow.syn(0))
    core.configure(table(5, FEED))
    assert flow.syn(200, retransmission=1) == effects.RESET


class Balancer:
    """A core that follows the configuration with calls to the store.

    :ivar asked_ms: start of the call without an answer, None without a call
    """

    def __init__(self, number):
        self.core = make_core(None, seed=number)
        self.asked_ms = None

    def answer(self, tables):
        """Apply the answer to the call."""
        for item in tables:
            self.core.configure(item)
        self.core.confirm_configuration(self.asked_ms)
        self.asked_ms = None


class World:
    """Balancers that lag, and flows whose packets reach any of them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.tables = [table(1, FEED)]
        # When each configuration was confirmed to the operator.
        self.written_ms = [0]
        self.balancers = [Balancer(number) for number in range(1, 5)]
        # Open flows with their server and the time of their opening.
        self.flows = []
        self.resets = 0

    def run(self, steps):
        actions = (
            (self.write, 1),
            (self.call_store, 6),
            (self.copy_from_peer, 1),
            (self.read_stale, 1),
            (self.restart, 1),
            (self.open, 8),
            (self.send, 30),
        )
        for _ in range(steps):
            self.now_ms += self.rng.randrange(1, 60)
            (action,) = self.rng.choices(
                [action for action, _ in actions],
                [weight for _, weight in actions],
            )
            action(self.rng.choice(self.balancers))

    def write(self, _):
        ports = {FEED} | set(self.rng.sample((PUSH, 9000), 1))
        self.tables.append(table(len(self.tables) + 1, *ports))
        self.written_ms.append(self.now_ms)

    def call_store(self, balancer):
        if balancer.asked_ms is None:
            balancer.asked_ms = self.now_ms
        else:
            balancer.answer(self.tables)

    def copy_from_peer(self, balancer):
        other = self.rng.choice(self.balancers)
        if other.core.routes is not None:
            balancer.core.configure(other.core.routes, is_current=False)

    def read_stale(self, balancer):
        balancer.core.configure(
            self.rng.choice(self.tables[-3:]), is_current=False
        )

    def restart(self, balancer):
        index = self.balancers.index(balancer)
        self.balancers[index] = Balancer(self.rng.randrange(1 << 30))

    def open(self, balancer):
        flow = builders.Flow(
            balancer.core,
            port=self.rng.choice((FEED, PUSH)),
            client_port=1000 + len(self.flows),
        )
        sent = builders.forwards(flow.syn(self.now_ms))
        if sent:
            flow.token = sent[0].token
            flow.ack = 5000
            self.flows.append((flow, sent[0].ident, self.now_ms))

    def send(self, balancer):
        if not self.flows:
            return
        flow, ident, opened_ms = self.rng.choice(self.flows[-40:])
        flow.core = balancer.core
        out = flow.acknowledge(self.now_ms, length=1)
        if out == effects.RESET:
            self.resets += 1
            assert self.was_dropped(flow.port, opened_ms)
        else:
            assert [item.ident for item in builders.forwards(out)] == [ident]

    def was_dropped(self, port, since_ms):
        """Return whether a configuration since then lacked a route."""
        ends_ms = [*self.written_ms[1:], self.now_ms + 1]
        return any(
            (builders.HOST, port) not in item.routes
            for item, end_ms in zip(self.tables, ends_ms, strict=True)
            if end_ms > since_ms
        )


@pytest.mark.parametrize("seed", range(20))
def test_only_flows_whose_route_was_dropped_are_reset(seed):
    """Balancers lag, restart and copy outdated configurations."""
    world = World(seed)
    world.run(1500)
    assert world.resets
    # Each balancer tracks the flows, then the store confirms its state.
    for balancer in world.balancers:
        newest = world.tables[-1]
        for confirmed in (False, True):
            world.now_ms += 10
            balancer.asked_ms = world.now_ms
            balancer.answer(world.tables)
            world.now_ms += 10
            for flow, _, _ in world.flows[-40:]:
                flow.core = balancer.core
                out = flow.acknowledge(world.now_ms, length=1)
                if newest.find(builders.HOST, flow.port) is not None:
                    assert builders.forwards(out)
                elif confirmed:
                    assert out == effects.RESET
