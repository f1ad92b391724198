import base64

import msgspec
import pytest

from cyclamenridge import address as address_lib
from cyclamenridge.wire import token as token_lib
from demo import account
from tests.standins import server as server_lib
from tests.standins import server_model

OWNER = address_lib.Address("127.0.0.11", 7000)
OTHER = address_lib.Address("127.0.0.12", 7000)
CODEC = token_lib.TokenCodec((b"k" * 16,))
NAME = "counter/setting/caller-1/0/1"


def request(**changes):
    token = CODEC.encode(
        token_lib.Token(
            token_lib.TokenType.SESSION,
            token_lib.name_hash("counter"),
            changes.pop("owner", OWNER),
            1,
            5,
        )
    )
    values = {
        "name": NAME,
        "service": "counter",
        "kind": "setting",
        "idempotent": False,
        "started_ms": 1000,
        "ended_ms": 1100,
        "outcome": "answered",
        "reason": "",
        "answered_by": "counter-1",
        "answer_ok": True,
        "token": base64.b64encode(token).decode(),
    }
    return account.RequestRecord(**{**values, **changes})


def server(*runs, service="counter", drained_ms=None, wrong_links=0):
    return server_lib.RunRecords(
        service=service,
        server=f"{service}-1",
        incarnation=1,
        drained_ms=drained_ms,
        ended_ms=9000,
        runs=list(runs),
        flows=[],
        refusals={},
        wrong_links=wrong_links,
    )


def run(name=NAME, started_ms=1010, service="counter"):
    return server_model.RunRecord(
        service=service,
        server=f"{service}-1",
        incarnation=1,
        balancer="b1",
        session_id=5,
        seq=1,
        kind="setting",
        customer="c",
        check=0,
        payload=f"{name} rest".encode(),
        started_ms=started_ms,
    )


GOOD_FEED = account.FeedRecord("counter", 5, 0, 0, 0)


def check(
    requests, servers, *, feeds=(GOOD_FEED,), faults=(), stop_codes=(0,)
):
    return account.check(
        [account.CallerReport(list(requests), list(feeds))],
        servers,
        faults=faults,
        stop_codes=list(stop_codes),
        codec=CODEC,
        seed=1,
        seconds=1,
    )


def test_run_without_violation_is_accepted():
    result = check([request()], [server(run())])
    assert result.ok
    assert (result.requests, result.answered, result.runs) == (1, 1, 1)


@pytest.mark.parametrize(
    ("requests", "servers", "finding"),
    [
        ([request()], [server(run(), run())], "ran 2 times"),
        ([request()], [server()], "did not run"),
        (
            [request(), request(name="x", outcome="not_run")],
            [server(run(), run("x"))],
            "was refused but ran",
        ),
        ([request(answer_ok=False)], [server(run())], "wrong answer"),
        (
            [request()],
            [server(run()), server(run(), service="workshop")],
            "ran in service workshop",
        ),
        ([request()], [server(run(), run("y"))], "never sent"),
        (
            [request()],
            [server(run(started_ms=5000), drained_ms=1000)],
            "was draining",
        ),
        (
            [request(), request(name="u", outcome="unknown")],
            [server(run())],
            "without a fault",
        ),
    ],
)
def test_each_violation_is_found(requests, servers, finding):
    """Guards against a check that reports success despite a violation."""
    result = check(requests, servers)
    assert not result.ok
    assert any(finding in text for text in result.findings), result


def test_feed_violations_and_failed_stops_are_found():
    """Guards against a check that ignores feeds or exit codes."""
    broken = msgspec.structs.replace(GOOD_FEED, breaks=1)
    without_events = msgspec.structs.replace(GOOD_FEED, events=0)
    wrong = msgspec.structs.replace(GOOD_FEED, wrong=1)
    for feed in (broken, without_events, wrong):
        assert not check([request()], [server(run())], feeds=[feed]).ok
    assert not check([request()], [server(run())], stop_codes=[0, 3]).ok


@pytest.mark.parametrize(
    ("owner", "started_ms", "ended_ms", "ok"),
    [
        (OWNER, 900, 4000, True),
        (OWNER, 3900, 4100, True),
        (OWNER, 4200, 4300, False),
        (OWNER, 800, 950, False),
        (OTHER, 900, 4000, False),
    ],
)
def test_unknown_outcome_requires_fault_of_its_owner(
    owner, started_ms, ended_ms, ok
):
    """Guards against unknown outcomes that are attributed to any fault.

    The request has to overlap the fault or the detection time after it, and
    its session has to belong to the balancer with the fault.
    """
    unknown = request(
        name="u",
        outcome="unknown",
        owner=owner,
        started_ms=started_ms,
        ended_ms=ended_ms,
    )
    fault = account.Fault(str(OWNER), 1000, 1000)
    result = check([request(), unknown], [server(run())], faults=[fault])
    assert result.ok is ok


def test_link_to_a_server_of_another_name_is_a_finding():
    """Guards against balancers that mix up the addresses of servers."""
    result = check([request()], [server(run(), wrong_links=2)])
    assert result.findings == [
        "counter-1 got 2 hellos that named another server"
    ]
