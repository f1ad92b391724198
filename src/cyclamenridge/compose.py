"""Composition root of a balancer process."""

import dataclasses
import random
import time

from cyclamenridge.adapters import admin as admin_lib
from cyclamenridge.adapters import backend_link
from cyclamenridge.adapters import etcd
from cyclamenridge.adapters import metrics as metrics_adapter
from cyclamenridge.adapters import store_platform
from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib
import cyclamenridge.app as app_lib
import cyclamenridge.clock as clock_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import operator
from cyclamenridge.config import settings as settings_lib
import cyclamenridge.errors as errors
from cyclamenridge.node import core as core_lib
from cyclamenridge.ports import metrics as metrics_port
from cyclamenridge.routing import home_sets as homes
from cyclamenridge.wire import caller

# UDP payload of an Ethernet frame with an MTU of 1500 bytes.
MAX_PEER_BYTES = 1472

# Tokens have 32 bits for the incarnation. Counting eighths of a second since
# 2025-01-01 lasts until 2042 and gives each restart a new incarnation.
_INCARNATION_EPOCH_S = 1_735_689_600
_INCARNATIONS_PER_S = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status report for operators."""

    name: str
    incarnation: int
    process: str
    state: str
    revision: int
    members: int
    links_up: int
    sessions: int
    feeds: int
    requests_in_progress: int


def incarnation(now_s: float) -> int:
    """Return the incarnation of a process that starts at this time."""
    return int((now_s - _INCARNATION_EPOCH_S) * _INCARNATIONS_PER_S) % 2**32


def build(settings: settings_lib.Settings) -> app_lib.Application:
    """Return the application, not started, with its endpoints bound.

    :raises ConfigError: when an address cannot be bound
    """
    clock = clock_lib.MonotonicClock()
    core = core_lib.NodeCore(
        homes.Balancer(
            name=settings.name,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            incarnation=incarnation(time.time()),
        ),
        keys=settings.keys,
        seeds=settings.seeds,
        rng=random.Random(random.SystemRandom().getrandbits(64)),
    )
    counters = core.counters
    caller_endpoint = _bind_endpoint(
        settings.caller_address, "caller", caller.MAX_DATAGRAM_BYTES, core
    )
    peer_endpoint = _bind_endpoint(
        settings.peer_address, "peer", MAX_PEER_BYTES, core
    )
    application = app_lib.Application(
        core,
        clock=clock,
        caller_endpoint=caller_endpoint,
        peer_endpoint=peer_endpoint,
        links=backend_link.TcpLinkTransport(settings.name, counters=counters),
        platform=store_platform.StorePlatform(
            etcd.EtcdStore(settings.store),
            store_platform.DocumentFormat(
                config_key=operator.KEY,
                decode_document=document_lib.decode,
                encode_document=document_lib.encode,
            ),
            rng=random.Random(random.SystemRandom().getrandbits(64)),
            counters=counters,
        ),
        stop_timeout_ms=settings.stop_deadline_ms,
    )
    admin_reports = _AdminReports(application, core, clock)
    application.add_component(
        admin_lib.AdminServer(
            settings.admin_address,
            status=admin_reports.status,
            dump=admin_reports.dump,
            drain=application.drain,
            metrics_port=metrics_adapter.PrometheusMetrics(
                admin_reports.sample
            ),
        )
    )
    return application


class _AdminReports:
    """Reports of the admin interface about the process."""

    def __init__(
        self,
        application: app_lib.Application,
        core: core_lib.NodeCore,
        clock: clock_lib.Clock,
    ) -> None:
        self._application = application
        self._core = core
        self._clock = clock

    def dump(self) -> core_lib.dump_lib.NodeDump:
        return self._core.dump(self._clock.now_ms())

    def status(self) -> Status:
        dump = self.dump()
        return Status(
            name=dump.name,
            incarnation=dump.incarnation,
            process=self._application.state,
            state=dump.state,
            revision=dump.revision or 0,
            members=sum(
                state in ("ALIVE", "SUSPECT")
                for state in dump.members.values()
            ),
            links_up=sum(link.incarnation is not None for link in dump.links),
            sessions=dump.sessions,
            feeds=dump.feeds,
            requests_in_progress=dump.requests_in_progress,
        )

    def sample(self) -> metrics_port.MetricsSnapshot:
        status = self.status()
        return metrics_port.MetricsSnapshot(
            counters=dict(self._core.counters),
            gauges={
                name: float(getattr(status, name))
                for name in (
                    "revision",
                    "members",
                    "links_up",
                    "sessions",
                    "feeds",
                    "requests_in_progress",
                )
            },
            latencies=self._core.latencies,
        )


def _bind_endpoint(
    address: address_lib.Address,
    name: str,
    max_bytes: int,
    core: core_lib.NodeCore,
) -> udp.UdpDatagrams:
    try:
        return udp.UdpDatagrams(
            address, name=name, max_bytes=max_bytes, counters=core.counters
        )
    except OSError as exc:
        raise errors.ConfigError(
            f"cannot bind {name} address {address}: {exc.strerror}"
        ) from exc
