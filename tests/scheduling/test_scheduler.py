import collections

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge.scheduling import retry
from cyclamenridge.scheduling import types
from cyclamenridge.wire import backend
from tests.scheduling import bench

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
MEMBERS = ("me", "p1", "p2", "p3", "p4")
Completion = types.Completion
Reason = types.Reason


@pytest.fixture
def alone():
    return bench.Bench()


def run_for(core, duration_ms, *, work_ms, offer, step_ms=5):
    """Run a scheduler on its own and return the slot time by kind.

    :param work_ms: work time of a request, by server and kind
    :param offer: called at each step, to submit requests
    """
    used = collections.Counter()
    end = core.now + duration_ms
    while core.now < end:
        offer()
        for key, (item, sent) in list(core.running.items()):
            duration = work_ms(item)
            if core.now - sent >= duration:
                used[item.request.kind] += duration
                used[item.server] += 1
                core.done(key)
        core.poll()
        core.now += step_ms
    return used


def test_no_slot_is_idle_while_requests_wait(alone):
    """Guards against idle slots while requests wait."""
    for _ in range(10):
        assert alone.submit() is None
    sent = alone.poll().assignments
    assert sorted(item.server for item in sent) == [
        "s0",
        "s0",
        "s1",
        "s1",
        "s2",
        "s2",
    ]
    alone.now += 9
    item = alone.done(sent[0].request.key)
    (again,) = alone.poll().assignments
    assert again.server == item.server


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("submit"),
            strategies.sampled_from(bench.KINDS),
            strategies.integers(1, 400),
        ),
        strategies.tuples(
            strategies.sampled_from(("answered", "failed", "busy", "drain")),
            strategies.integers(0, 20),
            strategies.just(0),
        ),
        strategies.tuples(
            strategies.just("wait"),
            strategies.integers(1, 300),
            strategies.just(0),
        ),
        strategies.tuples(
            strategies.just("load"),
            strategies.integers(0, 2),
            strategies.integers(0, 3),
        ),
    ),
    max_size=120,
)


@SETTINGS
@hypothesis.given(steps, strategies.sampled_from((("me",), MEMBERS)))
def test_rules_hold_for_any_history(history, members):
    """Guards against rules that only hold in tidy histories.

    No start after the deadline, nothing for a draining server, no more work
    than slots, no lost request, and retries within the budget.
    """
    core = bench.Bench(members=members)
    open_keys, draining, unpaid = set(), set(), 0

    def close(refusal):
        if refusal is not None:
            open_keys.remove(refusal.key)

    for step, first, second in history:
        if step == "submit":
            refusal = core.submit(kind=first, left=second)
            if refusal is None:
                open_keys.add(types.RequestKey(1, core.seq))
        elif step == "wait":
            core.now += first
        elif step == "load":
            core.core.server_load(
                core.now, f"s{first}", backend.Load(second, 0, 0)
            )
        elif core.running:
            key = sorted(core.running)[first % len(core.running)]
            if step == "busy":
                close(core.not_run(key))
            elif step == "drain":
                draining.add(core.running[key][0].server)
                unpaid += 1
                close(core.not_run(key, backend.RunError.DRAINING))
            else:
                core.done(key, Completion(step))
                open_keys.remove(key)
        result = core.poll()
        for item in result.assignments:
            assert core.now < item.request.deadline_ms
            assert item.server not in draining
        for refusal in result.refusals:
            close(refusal)
        load = collections.Counter(
            item.server for item, _ in core.running.values()
        )
        assert all(count <= 2 for count in load.values())
        assert set(core.running) <= open_keys
        budget = (
            retry.MAX_TOKENS
            + core.seq * 0.1
            + (core.now - bench.START_MS) * retry.MIN_TOKENS_PER_S / 1000
        )
        assert core.core.counters["retries"] - unpaid <= budget
    for key in core.running:
        open_keys.remove(key)
    core.running.clear()
    core.now += 1000
    result = core.poll()
    assert not result.assignments
    for refusal in result.refusals:
        close(refusal)
    assert not open_keys


def test_request_is_not_started_after_its_deadline(alone):
    """Guards against slots spent on answers that nobody waits for."""
    for _ in range(6):
        alone.submit()
    alone.poll()
    assert alone.submit(left=300) is None
    alone.now += 299
    (refusal,) = alone.poll().refusals
    assert refusal.key.seq == 7
    alone.now += 1
    late = [item for item, _ in alone.running.values()]
    for item in late:
        alone.done(item.request.key)
    assert not alone.poll().assignments
    expired = types.QueuedRequest(
        types.RequestKey(1, 7), "edit", "a", True, 0, alone.now, b""
    )
    refusal = alone.core.resubmit(alone.now, expired, exclude="s0")
    assert refusal.reason is Reason.EXPIRED


def test_retries_stay_within_the_budget(alone):
    """Guards against a storm of retries when servers are lost."""
    for _ in range(10):
        alone.submit()
    lost = [
        types.QueuedRequest(
            types.RequestKey(2, seq),
            "edit",
            "a",
            True,
            alone.now,
            alone.now + 5000,
            b"",
        )
        for seq in range(300)
    ]
    taken = sum(
        alone.core.resubmit(alone.now, request, exclude="s0") is None
        for request in lost
    )
    assert 0 < taken <= retry.MAX_TOKENS + 0.1 * alone.seq


def test_busy_everywhere_keeps_requests_waiting():
    """Guards against hammered servers, and against requests refused for
    lack of retries while they could wait for their own slot.
    """
    alone = bench.Bench(bench.make_config(retry_percent=1))
    attempts = 0
    for _ in range(2000):
        alone.submit()
        for item in alone.poll().assignments:
            attempts += 1
            alone.not_run(item.request.key)
        alone.now += 1
    # The budget, and one attempt each 200 ms without a token.
    assert attempts <= retry.MAX_TOKENS + 0.01 * alone.seq + 2 + 10
    assert alone.core.counters["retry_budget_empty"] <= 10


def test_report_of_a_full_server_does_not_stop_it(alone):
    """Guards against frozen reports that keep a server idle for ever."""
    for _ in range(60):
        for name in ("s0", "s1", "s2"):
            alone.core.server_load(alone.now, name, backend.Load(2, 0, 0))
        alone.now += 100
    alone.submit()
    alone.poll()
    for _ in range(3):
        if alone.running:
            break
        for name in ("s0", "s1", "s2"):
            alone.core.server_load(alone.now, name, backend.Load(2, 0, 0))
        alone.now += 50
        alone.poll()
    assert alone.running


def test_precedence_orders_the_queue_and_floors_keep_lower_kinds(alone):
    """Guards against low kinds that delay high ones, and that starve."""

    def offer():
        for kind in bench.KINDS:
            alone.submit(kind)
            alone.submit(kind)

    used = run_for(alone, 20_000, work_ms=lambda item: 40, offer=offer)
    capacity = 6 * 20_000
    assert used["view"] >= 0.095 * capacity
    assert used["dump"] >= 0.095 * capacity
    assert used["view"] + used["dump"] <= 0.25 * capacity
    assert used["edit"] >= 0.7 * capacity


def test_flood_of_a_customer_does_not_refuse_others(alone):
    """Guards against a customer whose flood uses up the queue."""
    refused = collections.Counter()

    def offer():
        for _ in range(10):
            refused["a"] += alone.submit("view", "a") is not None
        if alone.now % 100 == 0:
            refused["b"] += alone.submit("view", "b") is not None

    run_for(alone, 5000, work_ms=lambda item: 40, offer=offer)
    assert refused["a"] > 1000
    assert refused["b"] == 0


def test_queue_is_bounded_in_count_and_leaves_room():
    """Guards against memory used up by a flood of short requests."""
    core = bench.Bench(bench.make_config(queue_limit=100))
    taken = sum(
        core.submit("dump", "a", left=600_000) is None for _ in range(500)
    )
    assert taken == 50
    assert core.submit("dump", "b", left=600_000) is None
    assert core.submit("edit", "a", left=600_000) is None


def test_refusal_is_early_and_says_when_to_retry(alone):
    """Guards against requests that wait only to expire."""
    refusals = [alone.submit(left=1000) for _ in range(300)]
    late = [refusal for refusal in refusals if refusal is not None]
    assert len(late) > 200
    assert all(r.reason is Reason.OVERLOADED for r in late)
    assert min(r.retry_after_ms for r in late) >= 50


def test_draining_server_gets_nothing_new():
    """Guards against work for a server that is leaving, whoever says so."""
    core = bench.Bench(members=("me", "peer"))
    core.core.server_draining(core.now, "s0", True)
    core.core.server_load(core.now, "s1", backend.Load(0, 0, 0, True))
    for _ in range(10):
        core.submit()
    assert {item.server for item in core.poll().assignments} == {"s2"}
    assert core.core.place_feed(core.now) == "s2"
    assert core.core.demand(core.now).draining == ("s0", "s1")
    core.core.peer_demand(
        core.now, "peer", bench.demand(0.0, draining=("s2",))
    )
    assert core.core.place_feed(core.now) is None
    # Marks of others are not passed on, or they would never end.
    assert core.core.demand(core.now).draining == ("s0", "s1")
    core.up("s0", incarnation=2)
    assert core.core.place_feed(core.now) == "s0"


def test_server_that_fails_fast_does_not_attract_work():
    """Guards against a broken server that looks idle and takes the work."""
    core = bench.Bench(bench.make_config(servers=6))
    failed = answered = 0
    for _ in range(2000):
        core.submit()
        core.poll()
        core.now += 1
        for key, (item, sent) in list(core.running.items()):
            if item.server == "s0":
                core.done(key, Completion.FAILED)
                core.core.server_load(core.now, "s0", backend.Load(0, 0, 0))
                failed += 1
            elif core.now - sent >= 10:
                core.done(key)
                answered += 1
    assert answered > 1000
    assert failed <= 20


def test_server_that_fails_fast_but_stays_gets_no_extra_work():
    """Guards against broken servers that draw work once a third is out."""
    core = bench.Bench(bench.make_config(servers=2))
    ended = collections.Counter()
    for _ in range(3000):
        core.submit()
        core.poll()
        core.now += 1
        for key, (item, sent) in list(core.running.items()):
            if item.server == "s0" or core.now - sent >= 10:
                failed = item.server == "s0"
                core.done(
                    key, Completion.FAILED if failed else Completion.ANSWERED
                )
                ended[item.server] += 1
    assert ended["s0"] <= ended["s1"]


@pytest.mark.parametrize("count", [2, 3, 7])
def test_at_most_a_third_of_the_servers_is_ejected(count):
    """Guards against a fleet that ejects itself."""
    core = bench.Bench(bench.make_config(servers=count))
    bad = {f"s{index}" for index in range((count + 1) // 2)}
    seen = 0
    for _ in range(4000):
        core.submit()
        core.poll()
        core.now += 5
        for key, (item, _) in list(core.running.items()):
            core.done(
                key,
                Completion.FAILED
                if item.server in bad
                else Completion.ANSWERED,
            )
        ejected = sum(
            server.ejected_until_ms > core.now
            for server in core.core._servers.by_name.values()
        )
        assert ejected <= count // 3
        seen = max(seen, ejected)
    assert seen == count // 3


def test_new_server_starts_slowly_and_known_ones_at_once():
    """Guards against a cold server that gets a full load at once."""
    core = bench.Bench()
    core.now += 20_000
    core.up("s0", incarnation=2)
    used = run_for(
        core, 2000, work_ms=lambda item: 20, offer=lambda: core.submit()
    )
    assert 0 < used["s0"] < used["s1"] / 3


def test_feeds_spread_evenly_under_wrong_reports():
    """Guards against a frozen report of few connections that draws feeds."""
    core = bench.Bench()
    counts = collections.Counter()
    for _ in range(90):
        name = core.core.place_feed(core.now)
        core.core.feed_attached(core.now, name)
        counts[name] += 1
        core.core.server_load(core.now, "s0", backend.Load(0, 0, 0))
        core.core.server_load(core.now, "s1", backend.Load(0, 0, 500))
    assert set(counts.values()) == {30}


def test_own_slots_of_a_member_are_left_alone_in_a_flood():
    """Guards against slots of others taken while all slots are claimed."""
    core = bench.Bench(bench.make_config(servers=5), members=MEMBERS, me="me")
    for peer in MEMBERS[1:]:
        core.core.peer_demand(core.now, peer, bench.demand(0.0, 0.0, 50.0))
    for _ in range(100):
        core.submit("dump")
    core.core.demand(core.now)
    assert len(core.poll().assignments) == 2


def test_spare_slots_of_idle_members_are_used():
    """Guards against idle slots while the others have no work."""
    core = bench.Bench(bench.make_config(servers=5), members=MEMBERS, me="me")
    for peer in MEMBERS[1:]:
        core.core.peer_demand(core.now, peer, bench.demand())
    for _ in range(10):
        core.submit("dump")
    core.core.demand(core.now)
    assert len(core.poll().assignments) == 10


def test_unknown_kind_and_lost_service_are_refused(alone):
    """Guards against requests that wait for servers that do not exist."""
    assert alone.submit("none").reason is Reason.BAD_REQUEST
    for name in ("s0", "s1", "s2"):
        alone.core.server_down(alone.now, name)
    assert alone.submit("edit").reason is Reason.NO_SERVER


def test_server_lost_for_a_moment_refuses_nothing(alone):
    """Guards against refusals while a link is replaced."""
    alone.submit()
    alone.poll()
    for name in ("s0", "s1", "s2"):
        alone.core.server_down(alone.now, name)
    alone.now += 500
    assert alone.submit() is None
    alone.up("s1")
    assert len(alone.poll().assignments) == 1


def test_removed_kind_is_refused_and_others_stay(alone):
    """Guards against queued requests lost by a change of configuration."""
    for _ in range(8):
        alone.submit("edit")
        alone.submit("dump")
    alone.poll()
    cfg = bench.make_config()
    cfg = type(cfg)(
        deployment=cfg.deployment,
        failure_domains=cfg.failure_domains,
        services=cfg.services,
        kinds={kind: cfg.kinds[kind] for kind in ("edit", "view")},
        customers=cfg.customers,
        precedence=("edit", "view"),
    )
    refusals = alone.core.reconfigure(alone.now, cfg)
    assert {refusal.reason for refusal in refusals} == {Reason.BAD_REQUEST}
    for key in list(alone.running):
        alone.done(key)
    assert {i.request.kind for i in alone.poll().assignments} == {"edit"}
