"""Rate of new flows to cold servers, from all balancers together."""

import collections
import json
import random
import types

import msgspec
import pytest

from cyclamenridge.flow import effects
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.flow import placement
from cyclamenridge.flow import routes
import cyclamenridge.flow_reports as flow_reports
from tests.flow import builders

RATES = (0.5, 1, 3, 20, 100)
BEACON_MS = peers_lib.BEACON_INTERVAL_MS
MAX_DELAY_MS = 10
FAULT_MS = range(9000, 32_000)
END_MS = 38_000
COLD_MS = 10**6


def allowed_flows(rate):
    """Return the flows that a cold server may get in a second."""
    return rate * 1.5 + 5


def config_with(**rates):
    """Return a configuration with a rate for each service."""
    return msgspec.structs.replace(
        builders.CONFIG,
        warmups={
            service: routes.Warmup(COLD_MS, rate)
            for service, rate in rates.items()
        },
    )


class Balancer:
    """Core with its peers; ``stops_ms`` are pauses, or the time it is dead."""

    def __init__(self, number, domain, servers, config, *, seed, starts_ms=0):
        self.host = f"10.{domain}.0.{number}"
        self.number = number
        self.domain = domain
        self.starts_ms = starts_ms
        self.stops_ms = range(0)
        self.core = builders.make_core(
            *servers, seed=seed + number, config=config
        )
        self.peers = peers_lib.Peers(
            self.core,
            name=f"node-{number}",
            failure_domain=f"d{domain}",
            host=self.host,
            seeds=("10.0.0.0", "10.1.0.1", "10.2.0.2"),
            lag_tolerance_ms=1500,
            rng=random.Random(seed + number),
        )

    def runs(self, now_ms):
        """Return whether the process runs."""
        return now_ms >= self.starts_ms and now_ms not in self.stops_ms


class Fleet:
    """Balancers that exchange beacons, and cold servers of each domain.

    Each balancer sends to each server that it reaches whatever its limiter
    permits.

    :ivar arrivals: times at which flows arrived, by server
    """

    def __init__(self, size, domains, fault, seed=1):
        self.rng = random.Random(seed)
        self.fault = fault
        config = config_with(**{f"s{rate}": rate for rate in RATES})
        self.entries = [
            builders.server_entry(
                1 + domain * len(RATES) + index,
                service=f"s{rate}",
                failure_domain=f"d{domain}",
                warmup_ms=COLD_MS,
            )
            for domain in range(domains)
            for index, rate in enumerate(RATES)
        ]
        self.balancers = [
            Balancer(n, n % domains, self.entries, config, seed=seed)
            for n in range(size)
        ]
        if fault == "churn":
            self._add_churn(size, domains, config, seed)
        self.by_host = {b.host: b for b in self.balancers}
        self.arrivals = collections.defaultdict(list)

    def _add_churn(self, size, domains, config, seed):
        """Let a fourth pause, a fourth die, and replace the dead ones."""
        affected = self.rng.sample(self.balancers, size // 2)
        for index, balancer in enumerate(affected):
            start_ms = self.rng.choice(FAULT_MS[:8000])
            length_ms = self.rng.randrange(1000, 25_000)
            if index % 2:
                length_ms = END_MS
                self.balancers.append(
                    Balancer(
                        size + index,
                        balancer.number % domains,
                        self.entries,
                        config,
                        seed=seed,
                        starts_ms=start_ms + self.rng.randrange(8000),
                    )
                )
            balancer.stops_ms = range(start_ms, start_ms + length_ms)

    def is_heard(self, now_ms, sender, receiver):
        """Return whether beacons arrive."""
        if not receiver.runs(now_ms):
            return False
        if now_ms not in FAULT_MS:
            return True
        if self.fault == "cut":
            return {sender.domain, receiver.domain} != {0, 1}
        if self.fault == "one way":
            return sender.domain != 0 or receiver.domain == 0
        if self.fault == "halves":
            # Halves of domains that share their servers.
            return sender.number // 3 % 2 == receiver.number // 3 % 2
        if self.fault == "some alone":
            return sender.number % 4 != 1 and receiver.number % 4 != 1
        if self.fault == "domain alone":
            return sender.domain != 1 and receiver.domain != 1
        return True

    def reaches_server(self, now_ms, balancer, entry):
        """Return whether packets arrive at the server."""
        return (
            self.fault != "cut"
            or now_ms not in FAULT_MS
            or {f"d{balancer.domain}", entry.failure_domain} != {"d0", "d1"}
        )

    def run(self):
        """Play the whole time."""
        next_beacon_ms = {
            b.host: self.rng.randrange(BEACON_MS) for b in self.balancers
        }
        for now_ms in range(0, END_MS, 10):
            for balancer in self.balancers:
                if not balancer.runs(now_ms):
                    continue
                # Packets of clients may be read before beacons.
                if self.rng.random() < 0.1:
                    self._send_flows(now_ms, balancer)
                if now_ms >= next_beacon_ms[balancer.host]:
                    next_beacon_ms[balancer.host] = now_ms + BEACON_MS
                    self._send_beacons(now_ms, balancer)

    def _send_flows(self, now_ms, balancer):
        limiter = balancer.core.warmup
        for server in balancer.core.directory:
            if not self.reaches_server(now_ms, balancer, server.entry):
                continue
            while limiter.may_send(now_ms, server):
                limiter.record(now_ms, server)
                self.arrivals[server.entry.name].append(
                    now_ms + self.rng.uniform(0, MAX_DELAY_MS)
                )

    def _send_beacons(self, now_ms, balancer):
        for host in balancer.peers.beacon_targets(now_ms):
            other = self.by_host.get(host)
            if other is None or not self.is_heard(now_ms, balancer, other):
                continue
            action = other.peers.handle_beacon(
                now_ms, balancer.host, balancer.peers.encode_beacon()
            )
            if action.reply and self.is_heard(now_ms, other, balancer):
                balancer.peers.handle_beacon(
                    now_ms, host, other.peers.encode_beacon()
                )

    def peak_of(self, name):
        """Return the highest number of flows in a sliding second."""
        times = sorted(self.arrivals[name])
        first = peak = 0
        for index, time_ms in enumerate(times):
            while time_ms - times[first] >= 1000:
                first += 1
            peak = max(peak, index + 1 - first)
        return peak


@pytest.mark.parametrize("size", [5, 33, 60, 93])
@pytest.mark.parametrize(
    "fault",
    [
        "none",
        "cut",
        "one way",
        "halves",
        "some alone",
        "domain alone",
        "churn",
    ],
)
def test_a_cold_server_gets_no_more_than_its_rate(size, fault):
    """Balancers with different views must keep to the rate together.

    After a partition their members differ; after a start they know none.
    """
    fleet = Fleet(size, 3 if size < 60 else 5, fault)
    fleet.run()
    part_of = {}
    for entry in fleet.entries:
        rate = float(entry.service[1:])
        peak = fleet.peak_of(entry.name)
        assert peak <= allowed_flows(rate), (entry.service, peak)
        times = fleet.arrivals[entry.name]
        end_s = (END_MS - 18_000) / 1000
        per_s = sum(time_ms >= 18_000 for time_ms in times) / end_s
        part_of.setdefault(rate, []).append(
            (per_s / allowed_flows(rate), peak / allowed_flows(rate))
        )
    for rate, parts in part_of.items():
        lowest = min(mean for mean, _ in parts)
        highest = max(peak for _, peak in parts)
        print(f"{fault} {size} {rate}: {lowest:.2f} {highest:.2f}")
        # The limiter must not keep servers idle.
        assert fault not in ("none", "cut") or lowest > 0.2


def join(limiter, *, now_ms=0, ticks_ms=5000, seeds=()):
    """Let a limiter run as a balancer of "bne" without any peer."""
    limiter.members.join("10.0.0.1", "bne")
    limiter.members.set_seeds(seeds)
    for tick_ms in range(now_ms, now_ms + ticks_ms + 1, BEACON_MS):
        limiter.sweep(tick_ms)


def make_core(*entries, rate=3, ticks_ms=5000, **kwargs):
    """Return a core that may send four flows in a window at a rate of 3."""
    core = builders.make_core(*entries, config=config_with(counter=rate))
    join(core.warmup, ticks_ms=ticks_ms, **kwargs)
    return core


def cold_entry(number, **changes):
    """Return the entry of a cold server that has room for any flow here."""
    return builders.server_entry(
        number, slots=200, warmup_ms=COLD_MS, **changes
    )


def test_a_syn_waits_for_the_allowance_and_is_then_refused():
    """A SYN that only cold servers are left for must not exceed the rate.

    Requests on open flows must not wait behind it, and a retransmission of a
    refused SYN must not open the flow.
    """
    core = make_core(cold_entry(1))
    flows = [builders.Flow(core, client_port=n) for n in range(6)]
    for flow in flows[:4]:
        flow.open(10_000)
    assert flows[4].syn(10_010) == effects.DROP
    assert core.counters["openings_held_for_warmup"] == 1
    assert builders.forwards(flows[0].request(10_015))
    assert core.release(10_020) == []
    (refused,) = core.release(10_100)
    assert refused.effects == effects.RESET
    assert flows[4].syn(10_210, 1) == effects.RESET
    for now_ms in range(10_300, 11_190, 100):
        assert core.release(now_ms) == []
    assert flows[5].syn(11_190) == effects.DROP
    assert core.release(11_199) == []
    (placed,) = core.release(11_200)
    assert builders.forwards(placed.effects)


def test_a_syn_that_may_be_elsewhere_is_dropped_and_not_reset():
    """Another balancer may have forwarded the first copy of this SYN."""
    core = make_core(cold_entry(1))
    for number in range(4):
        builders.Flow(core, client_port=number).open(10_000)
    assert builders.Flow(core, client_port=5).syn(10_010, 1) == effects.DROP
    (dropped,) = core.release(10_100)
    assert dropped.effects == effects.DROP


def test_hedges_retransmissions_and_probes_keep_to_the_allowance():
    """Servers without answers get each SYN twice, and copies of it."""
    core = make_core(cold_entry(1), cold_entry(2))
    sent = collections.Counter()
    for number in range(20):
        flow = builders.Flow(core, client_port=number)
        for now_ms, copy in ((10_000, 0), (10_200, 1), (10_600, 2)):
            for forward in builders.forwards(flow.syn(now_ms + number, copy)):
                sent[forward.ident] += 1
    assert sent == {1: 4, 2: 4}


def test_a_warm_server_outside_the_sample_is_found():
    """A random sample of a large service may hold only cold servers."""
    count = placement.MAX_CANDIDATES * 4
    cold = [cold_entry(n, failure_domain="mel") for n in range(2, count)]
    core = make_core(builders.server_entry(1, slots=200), *cold, rate=0.5)
    core.warmup.members.record_beacon(9000, "10.0.0.2", "mel", [])
    for number in range(40):
        flow = builders.Flow(core, client_port=number)
        assert flow.open(10_000 + number).ident == 1


def count_checks(core, monkeypatch):
    """Return the servers that are checked from now on."""
    checked = []
    may_send = core.warmup.may_send

    def record(now_ms, server):
        checked.append(server.entry.ident)
        return may_send(now_ms, server)

    monkeypatch.setattr(core.warmup, "may_send", record)
    return checked


def test_waiting_syns_do_not_check_each_server_again(monkeypatch):
    """With 2,700 cold servers, 40 waiting SYNs took 52 ms for each packet."""
    core = make_core(*[cold_entry(n) for n in range(1, 4)])
    core.warmup.members.record_beacon(9000, "10.0.0.2", "bne", [])
    for server in core.directory:
        for _ in range(4):
            core.warmup.record(10_000, server)
    checked = count_checks(core, monkeypatch)
    for number in range(10):
        assert builders.Flow(core, client_port=number).syn(10_010) == (
            effects.DROP
        )
        assert core.release(10_010) == []
    assert len(checked) == 3


def test_a_server_that_may_get_a_flow_is_found_at_once(monkeypatch):
    """SYNs that wait for a slot asked all cold servers before it."""
    cold = [cold_entry(n, failure_domain="mel") for n in range(2, 50)]
    core = make_core(*cold, builders.server_entry(1))
    core.warmup.members.record_beacon(9000, "10.0.0.2", "mel", [])
    assert core.warmup.can_place(10_000, "counter")
    checked = count_checks(core, monkeypatch)
    assert core.warmup.can_place(10_001, "counter")
    assert checked == [1]


def test_a_change_of_the_members_is_looked_at_once_for_each_domain(
    monkeypatch,
):
    """With 540 balancers and 2,700 cold servers, each change took 0.5 s."""
    core = make_core(*[cold_entry(n) for n in range(1, 10)])
    core.warmup.members.version += 1
    domains = []
    candidates = core.warmup.members.candidates

    def record(domain):
        domains.append(domain)
        return candidates(domain)

    monkeypatch.setattr(core.warmup.members, "candidates", record)
    for server in core.directory:
        assert core.warmup.may_send(10_000, server)
    assert domains == ["bne"]


def set_warm(core):
    core.directory.put(10_020, builders.server_entry(2, revision=90))


def set_rate(core):
    config = msgspec.structs.replace(config_with(counter=100), version=5)
    core.configure(config)


def lose_members(core):
    """Let the other balancer of the domain leave."""
    core.warmup.members._members.clear()
    core.warmup.members.version += 1


@pytest.mark.parametrize("change", [set_warm, set_rate, lose_members])
def test_a_change_ends_the_wait_for_an_allowance(change):
    """A remembered answer must not outlast what it was derived from."""
    core = make_core(cold_entry(1))
    core.warmup.members.record_beacon(9000, "10.0.0.2", "bne", [])
    core.warmup.members._has_learnt = True
    (server,) = core.directory
    for _ in range(core.warmup.report(10_000, server).allowance):
        core.warmup.record(10_000, server)
    assert not core.warmup.can_place(10_010, "counter")
    change(core)
    assert core.warmup.can_place(10_020, "counter")


def test_the_wait_for_an_allowance_ends_with_learning_and_the_warm_up():
    core = make_core(builders.server_entry(1, warmup_ms=20_000), ticks_ms=0)
    assert not core.warmup.can_place(100, "counter")
    join(core.warmup)
    assert core.warmup.can_place(5000, "counter")
    (server,) = core.directory
    for now_ms in (5000, 19_500):
        for _ in range(4):
            core.warmup.record(now_ms, server)
        assert not core.warmup.can_place(now_ms, "counter")
    assert not core.warmup.can_place(19_999, "counter")
    assert core.warmup.can_place(20_000, "counter")


@pytest.mark.parametrize(
    "changes", [{"service": "workshop"}, {"failure_domain": "mel"}]
)
def test_a_server_that_moves_gets_a_new_allowance(changes):
    """The share of its earlier service or domain was kept."""
    core = builders.make_core(
        cold_entry(1), config=config_with(counter=100, workshop=0.5)
    )
    join(core.warmup)
    core.warmup.members.record_beacon(9000, "10.0.0.2", "mel", [])
    core.warmup.members._has_learnt = True
    assert share_of(core, 10_000) == 77
    core.directory.put(
        10_000, cold_entry(1, revision=90, born_ms=2, **changes)
    )
    assert share_of(core, 10_000) == (2 if "service" in changes else 0)


def test_late_first_requests_count_against_the_allowance():
    """A cold server must not get new flows on top of requests of old ones."""
    core = make_core(cold_entry(1))
    flows = [builders.Flow(core, client_port=n) for n in range(5)]
    for flow in flows[:4]:
        flow.open(10_000)
    for flow in flows[:4]:
        assert builders.forwards(flow.request(11_300))
        assert builders.forwards(flow.request(11_310))
    (server,) = core.directory
    assert core.warmup.report(11_310, server).sent == 4
    assert flows[4].syn(11_320) == effects.DROP
    # Later requests of a flow are no new flows.
    flows[0].acknowledge(11_340)
    assert builders.forwards(flows[0].request(12_600))
    assert core.warmup.report(12_600, server).sent == 0


def test_a_first_request_right_after_its_syn_is_not_counted_twice():
    core = make_core(cold_entry(1))
    for number in range(4):
        flow = builders.Flow(core, client_port=number)
        flow.open(10_000)
        flow.request(10_010)
    (server,) = core.directory
    assert core.warmup.report(10_010, server).sent == 4


@pytest.mark.parametrize("rate", [0, None])
def test_a_service_without_a_rate_is_not_limited(rate):
    config = builders.CONFIG if rate is None else config_with(counter=rate)
    core = builders.make_core(cold_entry(1), config=config)
    for number in range(50):
        builders.Flow(core, client_port=number).open(10)
    assert not core.warmup.is_active
    (server,) = core.directory
    assert core.warmup.report(10, server).allowance is None


def share_of(core, now_ms):
    """Return the allowance of this balancer for the first server."""
    server = core.directory.get("i-00000001")
    return core.warmup.report(now_ms, server).allowance


def test_a_process_that_just_started_sends_nothing_to_cold_servers():
    """It knows too few members, also after a pause in its first seconds.

    While it still learns of members, more are to be expected.
    """
    core = make_core(cold_entry(1), ticks_ms=1000)
    core.warmup.sweep(60_000)
    assert share_of(core, 60_000) == 0
    core = make_core(cold_entry(1), ticks_ms=4800)
    core.warmup.members.record_beacon(4900, "10.0.0.2", "mel", [])
    for now_ms in range(5000, 9600, 100):
        core.warmup.sweep(now_ms)
    core.warmup.members.record_beacon(9600, "10.0.0.3", "mel", [])
    for now_ms in range(9600, 10_600, 100):
        core.warmup.sweep(now_ms)
    assert share_of(core, 10_500) == 0
    for now_ms in range(10_600, 11_300, 100):
        core.warmup.sweep(now_ms)
    assert share_of(core, 11_200) == 4


def test_a_balancer_that_is_cut_off_sends_nothing_to_cold_servers():
    """It must not take itself for the only one, neither later on.

    The only balancer of a domain continues: no other one may send there.
    """
    core = make_core(cold_entry(1), seeds=["10.0.0.9"])
    assert share_of(core, 5000) == 0
    for domain, share in (("bne", 0), ("mel", 4)):
        core = make_core(cold_entry(1))
        members = core.warmup.members
        for now_ms in range(5200, 12_000, BEACON_MS):
            members.record_beacon(now_ms, "10.0.0.2", domain, ["10.0.0.3"])
            members.record_beacon(now_ms, "10.0.0.3", domain, [])
            core.warmup.sweep(now_ms)
        assert share_of(core, 11_900) > 0
        for now_ms in range(12_000, 90_000, BEACON_MS):
            core.warmup.sweep(now_ms)
        assert share_of(core, 89_900) == share
        # The members that it knew may have been replaced meanwhile.
        members.record_beacon(90_000, "10.0.0.2", domain, [])
        assert share_of(core, 90_000) == 0


def test_members_of_unknown_domains_count_for_each_domain():
    """A member that is only named in beacons may be of the server's domain."""
    core = make_core(cold_entry(1, failure_domain="mel"), rate=100)
    members = core.warmup.members
    members.record_beacon(5000, "10.0.0.2", "syd", [])
    join(core.warmup, now_ms=5000)
    members.record_beacon(10_000, "10.0.0.2", "syd", [])
    # Half of the usual 77, for two balancers, without any in the domain.
    assert share_of(core, 10_000) == 38 // 2
    members.record_beacon(10_000, "10.0.0.2", "syd", ["10.0.0.3"])
    assert share_of(core, 10_000) == 0


def test_members_that_were_lost_have_time_to_be_heard_again():
    """A partition ends for each member when its next beacon arrives.

    Dropping the others as soon as half are heard again gave too few members.
    """
    core = make_core(cold_entry(1), rate=100)
    members = core.warmup.members
    hosts = [f"10.0.0.{n}" for n in range(2, 8)]

    def hear(now_ms, count):
        for host in hosts[:count]:
            members.record_beacon(now_ms, host, "bne", [])
        core.warmup.sweep(now_ms)

    for now_ms in range(5200, 60_000, BEACON_MS):
        hear(now_ms, 6 if now_ms < 12_000 else 1)
    for now_ms in range(60_000, 70_000, BEACON_MS):
        hear(now_ms, 3)
        assert share_of(core, now_ms) == 77 // 7
    for now_ms in range(70_000, 76_000, BEACON_MS):
        hear(now_ms, 3)
    assert share_of(core, 75_800) == 77 // 4


def test_a_limited_server_is_logged_once_a_second():
    core = make_core(cold_entry(1))
    for number in range(300):
        builders.Flow(core, client_port=number).syn(10_000 + number)
    log = core.warmup._log
    names = [event for event, _ in log.events]
    assert names.count("warmup_limited") == 1


def test_servers_are_cold_after_an_evacuation():
    """Servers are empty then, and the entries that say so may be late."""
    core = make_core(cold_entry(1), rate=3)
    core.configure(
        msgspec.structs.replace(
            builders.CONFIG,
            version=5,
            warmups={"counter": routes.Warmup(2000, 3)},
        )
    )
    servers = core.directory
    servers.put(5000, builders.server_entry(1, revision=20))
    servers.put(5000, builders.server_entry(3, revision=55))
    core.warmup.assume_cold(6000, "bne", builders.at(50))
    # Told again by a peer.
    core.warmup.assume_cold(7000, "bne", builders.at(50))

    def end_after(now_ms, **changes):
        servers.put(now_ms, builders.server_entry(1, **changes))
        return servers.get("i-00000001").warmup_end_ms

    assert servers.get("i-00000001").warmup_end_ms == 8000
    # Its entry was written after the withdrawal.
    assert servers.get("i-00000003").warmup_end_ms == 5000
    assert end_after(6100, revision=30, warmup_ms=0) == 8000
    assert end_after(6200, revision=40, warmup_ms=2000) == 8200
    assert end_after(6300, revision=60, warmup_ms=2000) == 8300
    assert end_after(6400, revision=61, warmup_ms=2000) == 8300
    assert end_after(6500, revision=62, warmup_ms=0) == 6500
    # The entry of a server that was unknown is of before the withdrawal.
    servers.put(6600, builders.server_entry(2, revision=45))
    assert servers.get("i-00000002").warmup_end_ms == 8000


def test_a_snapshot_of_an_earlier_version_is_read():
    """Old and new processes run side by side during a rollout."""
    encoded = msgspec.msgpack.encode(config_with(counter=3))
    fields = msgspec.msgpack.decode(encoded)
    assert fields.pop("warmups")
    table = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=routes.RouteTable
    )
    assert table.warmups == {}


@pytest.mark.parametrize(
    ("overage", "slack", "share"), [(1.5, 5, 4), (2, 0, 3), (0.5, 0, 0)]
)
def test_the_bounds_set_the_allowance(overage, slack, share):
    """The settings of a deployment must be used, also after a reload."""
    core = make_core(cold_entry(1))
    assert share_of(core, 5000) == 4
    core.warmup.set_bounds(overage=overage, slack=slack)
    assert share_of(core, 5000) == share


def test_the_dump_shows_cold_servers():
    core = make_core(cold_entry(1), builders.server_entry(2))
    clock = types.SimpleNamespace(now_ms=lambda: 5000)
    peers = types.SimpleNamespace(names=dict)
    pages = flow_reports.MonitoringPages(core, peers, core.warmup._log, clock)
    servers = json.loads(pages.page("/dump").body)["servers"]
    assert [servers[f"i-0000000{n}"]["warmup"] for n in (1, 2)] == [
        {"ms_left": COLD_MS - 5000, "allowance": 4, "sent": 0},
        None,
    ]
