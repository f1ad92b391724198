import collections

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge.scheduling import retry
from cyclamenridge.scheduling import types
from cyclamenridge.wire import backend
from tests.scheduling import scheduler_harness

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
MEMBERS = ("me", "p1", "p2", "p3", "p4")
Completion = types.Completion
Reason = types.Reason


@pytest.fixture
def harness():
    return scheduler_harness.SchedulerHarness()


def run_for(harness, duration_ms, *, run_ms, submit_load, step_ms=5):
    """Run a scheduler under load for a time.

    :param run_ms: returns the run time of an assignment
    :param submit_load: called at each step, to submit requests
    :returns: slot time by kind, and number of requests by server
    """
    used = collections.Counter()
    end_ms = harness.now_ms + duration_ms
    while harness.now_ms < end_ms:
        submit_load()
        for key, (item, sent_ms) in list(harness.in_flight.items()):
            run_time_ms = run_ms(item)
            if harness.now_ms - sent_ms >= run_time_ms:
                used[item.request.kind] += run_time_ms
                used[item.server] += 1
                harness.complete(key)
        harness.poll()
        harness.now_ms += step_ms
    return used


def test_no_slot_is_idle_while_requests_wait(harness):
    """Guards against a slot that stays idle after its request has ended."""
    for _ in range(10):
        assert harness.submit() is None
    assignments = harness.poll().assignments
    assert sorted(item.server for item in assignments) == [
        "s0",
        "s0",
        "s1",
        "s1",
        "s2",
        "s2",
    ]
    harness.now_ms += 9
    ended = harness.complete(assignments[0].request.key)
    (following,) = harness.poll().assignments
    assert following.server == ended.server


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("submit"),
            strategies.sampled_from(scheduler_harness.KINDS),
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
def test_invariants_hold_for_random_events(history, members):
    """Guards against invariants that break under unusual event orders.

    No request is sent after its deadline, to a draining server or beyond the
    slots of a server; each one gets an outcome; retries keep to the budget.
    """
    harness = scheduler_harness.SchedulerHarness(members=members)
    open_keys, draining, drained_retries = set(), set(), 0

    def close(refusal):
        if refusal is not None:
            open_keys.remove(refusal.key)

    for step, first, second in history:
        if step == "submit":
            refusal = harness.submit(kind=first, timeout_ms=second)
            if refusal is None:
                open_keys.add(types.RequestKey(1, harness.seq))
        elif step == "wait":
            harness.now_ms += first
        elif step == "load":
            harness.scheduler.server_load(
                harness.now_ms, f"s{first}", backend.Load(second, 0, 0)
            )
        elif harness.in_flight:
            key = sorted(harness.in_flight)[first % len(harness.in_flight)]
            if step == "busy":
                close(harness.not_run(key))
            elif step == "drain":
                draining.add(harness.in_flight[key][0].server)
                drained_retries += 1
                close(harness.not_run(key, backend.RunError.DRAINING))
            else:
                harness.complete(key, Completion(step))
                open_keys.remove(key)
        result = harness.poll()
        for item in result.assignments:
            assert harness.now_ms < item.request.deadline_ms
            assert item.server not in draining
        for refusal in result.refusals:
            close(refusal)
        load = collections.Counter(
            item.server for item, _ in harness.in_flight.values()
        )
        assert all(count <= 2 for count in load.values())
        assert set(harness.in_flight) <= open_keys
        budget = (
            retry.MAX_TOKENS
            + harness.seq * 0.1
            + (harness.now_ms - scheduler_harness.START_MS)
            * retry.MIN_TOKENS_PER_S
            / 1000
        )
        assert (
            harness.scheduler.counters["retries"] - drained_retries <= budget
        )
    for key in harness.in_flight:
        open_keys.remove(key)
    harness.in_flight.clear()
    harness.now_ms += 1000
    result = harness.poll()
    assert not result.assignments
    for refusal in result.refusals:
        close(refusal)
    assert not open_keys


def test_request_is_not_started_after_its_deadline(harness):
    """Guards against slots used for requests that have expired."""
    for _ in range(6):
        harness.submit()
    harness.poll()
    assert harness.submit(timeout_ms=300) is None
    harness.now_ms += 299
    (refusal,) = harness.poll().refusals
    assert refusal.key.seq == 7
    harness.now_ms += 1
    sent = [item for item, _ in harness.in_flight.values()]
    for item in sent:
        harness.complete(item.request.key)
    assert not harness.poll().assignments
    expired = types.QueuedRequest(
        types.RequestKey(1, 7), "edit", "a", True, 0, harness.now_ms, b""
    )
    refusal = harness.scheduler.resubmit(harness.now_ms, expired, exclude="s0")
    assert refusal.reason is Reason.EXPIRED


def test_retries_stay_within_the_budget(harness):
    """Guards against a retry storm when servers are lost."""
    for _ in range(10):
        harness.submit()
    lost = [
        types.QueuedRequest(
            types.RequestKey(2, seq),
            "edit",
            "a",
            True,
            harness.now_ms,
            harness.now_ms + 5000,
            b"",
        )
        for seq in range(300)
    ]
    accepted = sum(
        harness.scheduler.resubmit(harness.now_ms, request, exclude="s0")
        is None
        for request in lost
    )
    assert 0 < accepted <= retry.MAX_TOKENS + 0.1 * harness.seq


def test_busy_servers_keep_requests_queued():
    """Guards against a high rate of attempts while all servers are busy.

    Without retry tokens, requests must wait for an own slot instead of being
    refused.
    """
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(retry_percent=1)
    )
    attempts = 0
    for _ in range(2000):
        harness.submit()
        for item in harness.poll().assignments:
            attempts += 1
            harness.not_run(item.request.key)
        harness.now_ms += 1
    # The budget, and one attempt each 200 ms without a token.
    assert attempts <= retry.MAX_TOKENS + 0.01 * harness.seq + 2 + 10
    assert harness.scheduler.counters["retry_budget_empty"] <= 10


def test_server_that_always_reports_full_is_still_tried(harness):
    """Guards against a server left idle because of its wrong load reports."""
    for _ in range(60):
        for name in ("s0", "s1", "s2"):
            harness.scheduler.server_load(
                harness.now_ms, name, backend.Load(2, 0, 0)
            )
        harness.now_ms += 100
    harness.submit()
    harness.poll()
    for _ in range(3):
        if harness.in_flight:
            break
        for name in ("s0", "s1", "s2"):
            harness.scheduler.server_load(
                harness.now_ms, name, backend.Load(2, 0, 0)
            )
        harness.now_ms += 50
        harness.poll()
    assert harness.in_flight


def test_precedence_and_floors_under_overload(harness):
    """Guards against priority inversion and starvation of lower kinds."""

    def submit_load():
        for kind in scheduler_harness.KINDS:
            harness.submit(kind)
            harness.submit(kind)

    used = run_for(
        harness, 20_000, run_ms=lambda item: 40, submit_load=submit_load
    )
    capacity = 6 * 20_000
    assert used["view"] >= 0.095 * capacity
    assert used["dump"] >= 0.095 * capacity
    assert used["view"] + used["dump"] <= 0.25 * capacity
    assert used["edit"] >= 0.7 * capacity


def test_overload_by_a_customer_does_not_refuse_others(harness):
    """Guards against a customer whose requests use up the queue."""
    refused = collections.Counter()

    def submit_load():
        for _ in range(10):
            refused["a"] += harness.submit("view", "a") is not None
        if harness.now_ms % 100 == 0:
            refused["b"] += harness.submit("view", "b") is not None

    run_for(harness, 5000, run_ms=lambda item: 40, submit_load=submit_load)
    assert refused["a"] > 1000
    assert refused["b"] == 0


def test_queue_is_bounded_and_leaves_space_for_others():
    """Guards against a queue that many requests make grow without bound.

    One customer or kind must not use the space of the others.
    """
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(queue_limit=100)
    )
    accepted = sum(
        harness.submit("dump", "a", timeout_ms=600_000) is None
        for _ in range(500)
    )
    assert accepted == 50
    assert harness.submit("dump", "b", timeout_ms=600_000) is None
    assert harness.submit("edit", "a", timeout_ms=600_000) is None


def test_refusal_is_early_and_says_when_to_retry(harness):
    """Guards against requests that are queued although they will expire."""
    refusals = [harness.submit(timeout_ms=1000) for _ in range(300)]
    overloaded = [refusal for refusal in refusals if refusal is not None]
    assert len(overloaded) > 200
    assert all(r.reason is Reason.OVERLOADED for r in overloaded)
    assert min(r.retry_after_ms for r in overloaded) >= 50


def test_draining_server_gets_nothing_new():
    """Guards against work for a draining server, for each drain source."""
    harness = scheduler_harness.SchedulerHarness(members=("me", "peer"))
    harness.scheduler.server_draining(harness.now_ms, "s0", True)
    harness.scheduler.server_load(
        harness.now_ms, "s1", backend.Load(0, 0, 0, True)
    )
    for _ in range(10):
        harness.submit()
    assert {item.server for item in harness.poll().assignments} == {"s2"}
    assert harness.scheduler.place_feed(harness.now_ms) == "s2"
    assert harness.scheduler.measure_demand(harness.now_ms).draining == (
        "s0",
        "s1",
    )
    harness.scheduler.set_peer_demand(
        harness.now_ms, "peer", scheduler_harness.demand(0.0, draining=("s2",))
    )
    assert harness.scheduler.place_feed(harness.now_ms) is None
    # A drain told by a peer is not passed on; it would be repeated for ever.
    assert harness.scheduler.measure_demand(harness.now_ms).draining == (
        "s0",
        "s1",
    )
    harness.connect("s0", incarnation=2)
    assert harness.scheduler.place_feed(harness.now_ms) == "s0"


def test_fast_failing_server_does_not_attract_requests():
    """Guards against a faulty server that looks idle and draws requests."""
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=6)
    )
    failed = answered = 0
    for _ in range(2000):
        harness.submit()
        harness.poll()
        harness.now_ms += 1
        for key, (item, sent_ms) in list(harness.in_flight.items()):
            if item.server == "s0":
                harness.complete(key, Completion.FAILED)
                harness.scheduler.server_load(
                    harness.now_ms, "s0", backend.Load(0, 0, 0)
                )
                failed += 1
            elif harness.now_ms - sent_ms >= 10:
                harness.complete(key)
                answered += 1
    assert answered > 1000
    assert failed <= 20


def test_fast_failing_server_that_is_not_ejected_gets_no_extra_requests():
    """Guards against faulty servers that draw requests without ejection.

    With two servers, ejecting one would exceed a third of them.
    """
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=2)
    )
    ended_by_server = collections.Counter()
    for _ in range(3000):
        harness.submit()
        harness.poll()
        harness.now_ms += 1
        for key, (item, sent_ms) in list(harness.in_flight.items()):
            if item.server == "s0" or harness.now_ms - sent_ms >= 10:
                failed = item.server == "s0"
                harness.complete(
                    key, Completion.FAILED if failed else Completion.ANSWERED
                )
                ended_by_server[item.server] += 1
    assert ended_by_server["s0"] <= ended_by_server["s1"]


@pytest.mark.parametrize("count", [2, 3, 7])
def test_at_most_a_third_of_the_servers_is_ejected(count):
    """Guards against the ejection of most servers when many of them fail."""
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=count)
    )
    bad = {f"s{index}" for index in range((count + 1) // 2)}
    seen = 0
    for _ in range(4000):
        harness.submit()
        harness.poll()
        harness.now_ms += 5
        for key, (item, _) in list(harness.in_flight.items()):
            harness.complete(
                key,
                Completion.FAILED
                if item.server in bad
                else Completion.ANSWERED,
            )
        ejected = sum(
            server.ejected_until_ms > harness.now_ms
            for server in harness.scheduler._servers.by_name.values()
        )
        assert ejected <= count // 3
        seen = max(seen, ejected)
    assert seen == count // 3


def test_new_server_starts_slowly_and_known_ones_at_once():
    """Guards against a new server that gets the full load at once."""
    harness = scheduler_harness.SchedulerHarness()
    harness.now_ms += 20_000
    harness.connect("s0", incarnation=2)
    used = run_for(
        harness,
        2000,
        run_ms=lambda item: 20,
        submit_load=lambda: harness.submit(),
    )
    assert 0 < used["s0"] < used["s1"] / 3


def test_feeds_are_balanced_despite_wrong_load_reports():
    """Guards against a wrong report of few connections that draws feeds."""
    harness = scheduler_harness.SchedulerHarness()
    counts = collections.Counter()
    for _ in range(90):
        name = harness.scheduler.place_feed(harness.now_ms)
        harness.scheduler.feed_attached(harness.now_ms, name)
        counts[name] += 1
        harness.scheduler.server_load(
            harness.now_ms, "s0", backend.Load(0, 0, 0)
        )
        harness.scheduler.server_load(
            harness.now_ms, "s1", backend.Load(0, 0, 500)
        )
    assert set(counts.values()) == {30}


def test_slots_of_other_members_are_not_used_under_overload():
    """Guards against the use of foreign slots that their owners need."""
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=5), members=MEMBERS, me="me"
    )
    for peer in MEMBERS[1:]:
        harness.scheduler.set_peer_demand(
            harness.now_ms, peer, scheduler_harness.demand(0.0, 0.0, 50.0)
        )
    for _ in range(100):
        harness.submit("dump")
    harness.scheduler.measure_demand(harness.now_ms)
    assert len(harness.poll().assignments) == 2


def test_spare_slots_of_idle_members_are_used():
    """Guards against idle slots while only one member has requests."""
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=5), members=MEMBERS, me="me"
    )
    for peer in MEMBERS[1:]:
        harness.scheduler.set_peer_demand(
            harness.now_ms, peer, scheduler_harness.demand()
        )
    for _ in range(10):
        harness.submit("dump")
    harness.scheduler.measure_demand(harness.now_ms)
    assert len(harness.poll().assignments) == 10


def test_overloaded_member_uses_its_own_slots_only():
    """Guards against the use of foreign slots based on outdated demands."""
    harness = scheduler_harness.SchedulerHarness(
        scheduler_harness.make_config(servers=5), members=MEMBERS, me="me"
    )
    for peer in MEMBERS[1:]:
        harness.scheduler.set_peer_demand(
            harness.now_ms, peer, scheduler_harness.demand()
        )
    while harness.submit("dump") is None:
        pass
    own = harness.scheduler._share.owned_total
    assert own < 10
    assert len(harness.poll().assignments) == own


def test_unknown_kind_and_lost_service_are_refused(harness):
    """Guards against requests that wait while no server can run them."""
    assert harness.submit("none").reason is Reason.BAD_REQUEST
    for name in ("s0", "s1", "s2"):
        harness.scheduler.server_down(harness.now_ms, name)
    assert harness.submit("edit").reason is Reason.NO_SERVER


def test_server_lost_for_a_moment_refuses_nothing(harness):
    """Guards against refusals while a lost link is connected again."""
    harness.submit()
    harness.poll()
    for name in ("s0", "s1", "s2"):
        harness.scheduler.server_down(harness.now_ms, name)
    harness.now_ms += 500
    assert harness.submit() is None
    harness.connect("s1")
    assert len(harness.poll().assignments) == 1


def test_removed_kind_is_refused_and_others_stay(harness):
    """Guards against queued requests lost by a configuration change."""
    for _ in range(8):
        harness.submit("edit")
        harness.submit("dump")
    harness.poll()
    cfg = scheduler_harness.make_config()
    cfg = type(cfg)(
        deployment=cfg.deployment,
        failure_domains=cfg.failure_domains,
        services=cfg.services,
        kinds={kind: cfg.kinds[kind] for kind in ("edit", "view")},
        customers=cfg.customers,
        precedence=("edit", "view"),
    )
    refusals = harness.scheduler.reconfigure(harness.now_ms, cfg)
    assert {refusal.reason for refusal in refusals} == {Reason.BAD_REQUEST}
    for key in list(harness.in_flight):
        harness.complete(key)
    assert {i.request.kind for i in harness.poll().assignments} == {"edit"}
