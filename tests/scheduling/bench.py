"""A scheduler with its servers up, for tests."""

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
            types.KindDemand(kind, wanted)
            for kind, wanted in zip(KINDS, slots, strict=False)
        ),
        draining,
    )


class Bench:
    """A scheduler with its servers up and a clock."""

    def __init__(self, cfg=None, *, members=("me",), seed=1, me="me"):
        self.cfg = cfg or make_config()
        self.now = START_MS
        self.core = scheduler.ServiceScheduler(
            SERVICE, self.cfg, me=me, rng=random.Random(seed)
        )
        self.core.set_members(self.now, members)
        for name in self.cfg.services[SERVICE].servers:
            self.up(name)
        self.running = {}
        self.seq = 0

    def up(self, name, incarnation=1):
        slots = self.cfg.services[SERVICE].servers[name].slots
        self.core.server_up(
            self.now,
            name,
            backend.Identity(SERVICE, name, incarnation, slots, 2000),
        )

    def submit(self, kind="edit", customer="a", left=5000):
        self.seq += 1
        return self.core.submit(
            self.now,
            types.QueuedRequest(
                types.RequestKey(1, self.seq),
                kind,
                customer,
                True,
                self.now,
                self.now + left,
                b"",
            ),
        )

    def poll(self):
        result = self.core.poll(self.now)
        for item in result.assignments:
            self.running[item.request.key] = (item, self.now)
        return result

    def done(self, key, completion=types.Completion.ANSWERED):
        item, sent = self.running.pop(key)
        self.core.completed(
            self.now, key, item.server, completion, self.now - sent
        )
        return item

    def not_run(self, key, error=backend.RunError.BUSY):
        item, _ = self.running.pop(key)
        return self.core.not_run(self.now, key, item.server, error)
