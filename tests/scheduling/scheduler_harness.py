"""A scheduler with connected servers and a clock, for tests."""

import random

from cyclamenridge.config import model
from cyclamenridge.scheduling import scheduler
from cyclamenridge.scheduling import types
from cyclamenridge.wire import backend

START_MS = 1_000_000
SERVICE = "counter"
KINDS = ("edit", "view", "dump")


def make_config(servers=3, slots=2, floors=(0, 10, 10), **service):
    return model.Config(
        deployment="test",
        failure_domains={
            "a": model.FailureDomain(region="r", networks=("127.0.0.0/8",))
        },
        services={
            SERVICE: model.Service(
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
            kind: model.Kind(
                service=SERVICE,
                mode=model.Mode.REQUEST,
                floor_percent=floor,
            )
            for kind, floor in zip(KINDS, floors, strict=True)
        },
        customers={"a": model.Customer(), "b": model.Customer(share=2)},
        precedence=KINDS,
    )


def demand(*slots, draining=()):
    """Return a demand with the given slots for each kind."""
    return types.ServiceDemand(
        SERVICE,
        tuple(
            types.KindDemand(kind, demanded)
            for kind, demanded in zip(KINDS, slots, strict=False)
        ),
        draining,
    )


class SchedulerHarness:
    """Runs a scheduler whose servers are connected, on a manual clock.

    ``in_flight`` maps the key of each request at a server to its assignment
    and the time at which it was sent.
    """

    def __init__(self, cfg=None, *, members=("me",), seed=1, me="me"):
        self.cfg = cfg or make_config()
        self.now_ms = START_MS
        self.scheduler = scheduler.ServiceScheduler(
            SERVICE, self.cfg, me=me, rng=random.Random(seed)
        )
        self.scheduler.set_members(self.now_ms, members)
        for name in self.cfg.services[SERVICE].servers:
            self.connect(name)
        self.in_flight = {}
        self.seq = 0

    def connect(self, name, incarnation=1):
        slots = self.cfg.services[SERVICE].servers[name].slots
        self.scheduler.server_up(
            self.now_ms,
            name,
            backend.Identity(SERVICE, name, incarnation, slots, 2000),
        )

    def submit(self, kind="edit", customer="a", timeout_ms=5000):
        self.seq += 1
        return self.scheduler.submit(
            self.now_ms,
            types.QueuedRequest(
                types.RequestKey(1, self.seq),
                kind,
                customer,
                True,
                self.now_ms,
                self.now_ms + timeout_ms,
                b"",
            ),
        )

    def poll(self):
        result = self.scheduler.poll(self.now_ms)
        for item in result.assignments:
            self.in_flight[item.request.key] = (item, self.now_ms)
        return result

    def complete(self, key, completion=types.Completion.ANSWERED):
        item, sent_ms = self.in_flight.pop(key)
        self.scheduler.assignment_completed(
            self.now_ms, key, item.server, completion, self.now_ms - sent_ms
        )
        return item

    def not_run(self, key, error=backend.RunError.BUSY):
        item, _ = self.in_flight.pop(key)
        return self.scheduler.request_not_run(
            self.now_ms, key, item.server, error
        )
