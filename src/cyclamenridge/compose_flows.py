"""Composition root of the process that runs on the platform."""

import os
import random
import sys

from cyclamenridge.adapters import http
from cyclamenridge.adapters import jsonlog
from cyclamenridge.adapters import udp
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import choice
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import settings as settings_lib
import cyclamenridge.flow_app as flow_app
import cyclamenridge.follower as follower
from cyclamenridge.platform import packets
from cyclamenridge.platform import records
from cyclamenridge.platform import settings as settings_file
from cyclamenridge.platform import store


def build(path: str) -> flow_app.FlowApplication:
    """Return the application; raises ConfigError."""
    settings = settings_file.load(path)
    clock = clock_lib.MonotonicClock()
    rng = random.Random(os.urandom(8))
    log = jsonlog.JsonLog(sys.stdout.fileno(), node=settings.name)
    core = core_lib.FlowCore(
        chooser=choice.LeastLoaded(settings.failure_domain, rng),
        rng=rng,
        log=log,
    )
    application = flow_app.FlowApplication(
        core,
        settings=settings,
        clock=clock,
        packets=_bind(settings, core),
        codec=packets.EchoCodec(),
        log=log,
        reload=lambda: None,
    )
    application.add_component(
        follower.StoreFollower(
            store.PlatformStore(
                settings.store.address, watch_wait_ms=store.WATCH_WAIT_MS
            ),
            records.PlatformRecords(),
            core,
            clock=clock,
            rng=rng,
            log=log,
            updated=application.updated,
        )
    )
    application.add_component(
        http.HttpServer(
            settings.ready,
            lambda target: http.Page(200 if application.ready else 503),
        )
    )
    return application


def _bind(
    settings: settings_lib.FlowSettings, core: core_lib.FlowCore
) -> udp.UdpDatagrams:
    try:
        return udp.UdpDatagrams(
            settings.packets,
            name="packet",
            max_bytes=packets.MAX_DATAGRAM_BYTES,
            counters=core.counters,
        )
    except OSError as exc:
        raise errors.ConfigError(
            f"cannot bind {settings.packets}: {exc.strerror}"
        ) from exc
