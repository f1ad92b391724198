import random

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import placement as placement_lib
from cyclamenridge.flow import reachability
from cyclamenridge.flow import selection
from cyclamenridge.flow import server_stats as stats_lib
from tests.flow import builders


def make_servers(*numbers, **changes):
    return [
        directory_lib.Server(builders.server_entry(number, **changes), 0)
        for number in numbers
    ]


def choices(servers, table, *, now_ms=0, count=300, seed=1):
    """Return how often each server is selected."""
    selector = selection.SampledLoadSelector("bne", random.Random(seed))
    names = [
        selector.select(now_ms, servers, table).entry.name
        for _ in range(count)
    ]
    return {
        server.entry.name: names.count(server.entry.name) for server in servers
    }


class CountingTable(stats_lib.ServerStatsTable):
    looked_up = 0

    def for_server(self, name):
        self.looked_up += 1
        return super().for_server(name)


def test_few_servers_are_compared_for_a_syn():
    """The cost of comparing all of 60 servers exceeded that of the rest."""
    table = CountingTable()
    choices(make_servers(*range(1, 61)), table, count=10)
    sample = selection.LOCAL_SAMPLE + selection.GLOBAL_SAMPLE
    assert table.looked_up <= 10 * sample


def test_idle_servers_of_the_own_domain_are_preferred():
    """Bytes between failure domains cost."""
    servers = make_servers(*range(1, 21)) + make_servers(
        *range(21, 61), failure_domain="syd"
    )
    chosen = choices(servers, stats_lib.ServerStatsTable())
    local = sum(chosen[server.entry.name] for server in servers[:20])
    assert local >= 0.95 * 300


def test_another_domain_is_used_when_the_own_one_is_busy():
    """Flows waited in the own domain while servers elsewhere were idle."""
    servers = make_servers(1, 2) + make_servers(3, failure_domain="syd")
    table = stats_lib.ServerStatsTable()
    for server in servers[:2]:
        table.for_server(server.entry.name).pending = 2
    assert choices(servers, table)[servers[2].entry.name] == 300


def test_a_slow_server_gets_less_work():
    """By counts alone, a slow server with short queues looks idle."""
    servers = make_servers(1, 2)
    slow, usual = (server.entry.name for server in servers)
    table = stats_lib.ServerStatsTable()
    for _ in range(50):
        table.record_answer_time(0, usual, route="feed", answer_ms=50)
        table.record_answer_time(0, slow, route="feed", answer_ms=250)
    table.for_server(usual).pending = 2
    assert choices(servers, table)[slow] == 0
    # It is tried again, since it may have recovered meanwhile.
    later_ms = stats_lib.OUTCOME_TTL_MS
    assert choices(servers, table, now_ms=later_ms)[slow] == 300


def test_routes_with_long_answers_do_not_make_a_server_slow():
    """The answer times of routes differ by more than those of servers."""
    table = stats_lib.ServerStatsTable()
    for _ in range(50):
        table.record_answer_time(0, "a", route="feed", answer_ms=40)
        table.record_answer_time(0, "b", route="dump", answer_ms=900)
    for name in ("a", "b"):
        slowness = table.for_server(name).slowness(0)
        assert slowness < selection.MAX_USUAL_SLOWNESS


def test_answers_within_a_millisecond_are_counted():
    """A mean of 0 ms would divide by zero."""
    table = stats_lib.ServerStatsTable()
    for _ in range(3):
        table.record_answer_time(0, "a", route="feed", answer_ms=0)
    assert table.for_server("a").slowness(0) <= 1


def test_a_server_that_refuses_is_avoided_until_the_others_are_busy():
    """A refusing server looks idle and attracted flows.

    The avoided capacity is bounded by the work of the other servers.
    """
    servers = make_servers(1, 2, 3)
    table = stats_lib.ServerStatsTable()
    for _ in range(10):
        table.for_server("i-00000001").record_refusal(0)
        table.for_server("i-00000002").record_refusal(0)
    assert choices(servers, table)["i-00000003"] == 300
    table.for_server("i-00000003").pending = 10
    assert choices(servers, table)["i-00000003"] == 0


def test_one_refusal_outweighs_the_preference_for_the_own_domain():
    """A full server counts as full for a while."""
    servers = make_servers(1) + make_servers(2, failure_domain="syd")
    table = stats_lib.ServerStatsTable()
    table.for_server("i-00000001").record_refusal(0)
    assert choices(servers, table)["i-00000002"] >= 290
    for _ in range(10):
        table.for_server("i-00000001").record_relative_time(100, 1.0)
    assert choices(servers, table, now_ms=100)["i-00000001"] == 300


class _Placement:
    def __init__(self):
        self.table = stats_lib.ServerStatsTable()
        rng = random.Random(1)
        self.placement = placement_lib.Placement(
            selector=selection.SampledLoadSelector("bne", rng),
            server_stats=self.table,
            reachability=reachability.DomainReachability("bne"),
            rng=rng,
        )

    def part_at(self, now_ms, servers, name, count=1000):
        """Return the part of flows that are placed at a server."""
        firsts = []
        for _ in range(count):
            self.placement.begin_slow_starts(now_ms, "counter", servers)
            candidates = self.placement.sample_candidates(servers)
            chosen = self.placement.select_servers(now_ms, candidates, ())
            firsts.append(chosen[0].entry.name)
        return firsts.count(name) / count


def test_a_server_that_joins_gets_a_growing_part_of_the_flows():
    """All balancers placed all flows at servers that looked idle."""
    fixture = _Placement()
    servers = make_servers(*range(1, 6))
    returned = servers[4].entry.name
    for server in servers[:4]:
        fixture.table.for_server(server.entry.name).pending = 4
    # Servers known from the start do not start slowly.
    assert fixture.part_at(0, list(servers), returned) == 1
    fixture.part_at(1000, servers[:4], returned, count=1)
    joined = list(servers)
    parts = [
        fixture.part_at(now_ms, joined, returned)
        for now_ms in (5000, 5500, 5800, 6000)
    ]
    assert parts == sorted(parts)
    assert parts[0] < 0.35
    assert parts[-1] == 1


def test_a_third_of_the_servers_that_joins_does_not_start_slowly():
    """After an evacuation, the other servers lack the capacity."""
    fixture = _Placement()
    servers = make_servers(1, 2, 3)
    returned = servers[2].entry.name
    for server in servers[:2]:
        fixture.table.for_server(server.entry.name).pending = 4
    fixture.part_at(0, servers[:2], returned, count=1)
    assert fixture.part_at(5000, list(servers), returned) == 1


def test_answers_shorten_the_slow_start():
    """What a server has answered is known to work."""
    stats = stats_lib.ServerStats()
    stats.begin_slow_start(0)
    for _ in range(stats_lib.SLOW_START_MS // stats_lib.SLOW_START_ANSWER_MS):
        assert stats.slow_start_part(10) < 1
        stats.record_relative_time(10, 1.0)
    assert stats.slow_start_part(10) == 1


def test_flows_go_to_servers_in_slow_start_if_there_are_no_others():
    """A slow start must not refuse flows."""
    fixture = _Placement()
    fixture.part_at(0, make_servers(1), "i-00000001", count=1)
    joined = make_servers(2)
    assert fixture.part_at(5000, joined, "i-00000002") == 1


def test_a_newer_entry_does_not_start_a_server_slowly():
    """Servers write their entries every 1.2 s."""
    fixture = _Placement()
    fixture.part_at(0, make_servers(1, 2), "i-00000001", count=1)
    newer = make_servers(1, 2)
    fixture.part_at(5000, newer, "i-00000001", count=1)
    assert fixture.table.for_server("i-00000001").slow_start_part(5000) == 1
