import random

import pytest

from cyclamenridge.config import model
from cyclamenridge.scheduling import scheduler
from cyclamenridge.scheduling import types
from cyclamenridge.wire import backend

FIRST_MS = 1_000_000


def make_config(servers=3, slots=2, **service):
    return model.Config(
        deployment="test",
        failure_domains={
            "a": model.FailureDomain(region="r", networks=("127.0.0.0/8",))
        },
        services={
            "counter": model.Service(
                servers={
                    f"s{index}": model.Server(
                        address=f"127.0.0.1:{8000 + index}",
                        failure_domain="a",
                        slots=slots,
                    )
                    for index in range(servers)
                },
                **service,
            )
        },
        kinds={
            "edit": model.Kind(service="counter", mode=model.Mode.REQUEST),
            "view": model.Kind(
                service="counter",
                mode=model.Mode.REQUEST,
                floor_percent=10,
            ),
            "dump": model.Kind(
                service="counter", mode=model.Mode.BULK, floor_percent=10
            ),
        },
        customers={"a": model.Customer(), "b": model.Customer(share=2)},
        precedence=("edit", "view", "dump"),
    )


def make_request(seq, *, kind="edit", customer="a", now=FIRST_MS, left=5000):
    return types.QueuedRequest(
        types.RequestKey(1, seq), kind, customer, True, now, now + left, b""
    )


class Bench:
    """A scheduler with its servers up."""

    def __init__(self, cfg=None, members=("me",), seed=1):
        self.cfg = cfg or make_config()
        self.core = scheduler.ServiceScheduler(
            "counter", self.cfg, me="me", rng=random.Random(seed)
        )
        self.core.set_members(FIRST_MS, members)
        for name, server in self.cfg.services["counter"].servers.items():
            self.core.server_up(
                FIRST_MS,
                name,
                backend.Identity("counter", name, 1, server.slots, 2000),
            )
        self.seq = 0

    def submit(self, now=FIRST_MS, **values):
        self.seq += 1
        request = make_request(self.seq, now=now, **values)
        return self.core.submit(now, request)


@pytest.fixture
def bench():
    return Bench()


def test_alone_all_slots_are_used(bench):
    """Guards against idle slots while requests wait."""
    for _ in range(10):
        assert bench.submit() is None
    sent = bench.core.poll(FIRST_MS).assignments
    assert sorted(item.server for item in sent) == sorted(
        ["s0", "s1", "s2"] * 2
    )
    first = sent[0]
    bench.core.completed(
        FIRST_MS + 9,
        first.request.key,
        first.server,
        types.Completion.ANSWERED,
        9,
    )
    (again,) = bench.core.poll(FIRST_MS + 9).assignments
    assert again.server == first.server
