"""Composition root of the balancer process on the platform."""

import os
import random
import sys

from cyclamenridge.adapters import http
from cyclamenridge.adapters import jsonlog
from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.flow import selection
from cyclamenridge.flow import settings as settings_lib
import cyclamenridge.flow_app as flow_app
import cyclamenridge.flow_reports as flow_reports
import cyclamenridge.peer_link as peer_link
from cyclamenridge.platform import packets
from cyclamenridge.platform import records
from cyclamenridge.platform import settings as settings_file
from cyclamenridge.platform import store
import cyclamenridge.settings_watcher as settings_watcher_lib
import cyclamenridge.store_follower as store_follower

# UDP payload of an Ethernet frame with an MTU of 1500 bytes.
MAX_BEACON_BYTES = 1472


def build(path: str) -> flow_app.FlowApplication:
    """Return the application for the settings file at ``path``.

    :raises ConfigError: when the settings are invalid or an address cannot
        be bound
    """
    settings = settings_file.load(path)
    intervals = settings_lib.intervals_of(settings)
    clock = clock_lib.MonotonicClock()
    rng = random.Random(os.urandom(8))
    log = jsonlog.JsonLog(sys.stdout.fileno(), node=settings.name)
    core = core_lib.FlowCore(
        failure_domain=settings.failure_domain,
        longest_flow_ms=settings.longest_flow_ms,
        report_interval_ms=settings.report_interval_ms,
        selector=selection.SampledLoadSelector(settings.failure_domain, rng),
        rng=rng,
        log=log,
    )
    core.warmup.set_bounds(
        overage=settings.warmup_overage, slack=settings.warmup_slack
    )
    application = flow_app.FlowApplication(
        core,
        settings=settings,
        clock=clock,
        packets=_bind(
            settings.packets, "packet", packets.MAX_DATAGRAM_BYTES, core
        ),
        codec=packets.EchoCodec(),
        log=log,
    )
    application.add_component(
        store_follower.StoreFollower(
            store.PlatformStore(
                settings.store.address, watch_wait_ms=intervals.watch_wait_ms
            ),
            records.PlatformRecordDecoder(log_event=log.process_event),
            core,
            clock=clock,
            rng=rng,
            log=log,
            coalesce_ms=intervals.coalesce_ms,
            on_update=application.serve_if_ready,
        )
    )
    peers = peers_lib.Peers(
        core,
        name=settings.name,
        failure_domain=settings.failure_domain,
        host=settings.ip,
        seeds=tuple(seed.host for seed in settings.seeds),
        lag_tolerance_ms=intervals.lag_tolerance_ms,
        rng=rng,
    )
    peer_address = address_lib.Address(settings.ip, settings.peer_ports[0])
    application.add_component(
        peer_link.PeerLink(
            peers,
            core,
            port=peer_address.port,
            beacons=_bind(peer_address, "beacon", MAX_BEACON_BYTES, core),
            server=http.HttpServer(
                peer_address,
                lambda target: (
                    http.Page(
                        200, peers.encode_snapshot(), "application/msgpack"
                    )
                    if target == peer_link.SNAPSHOT_PATH
                    else http.Page(404)
                ),
            ),
            clock=clock,
            log=log,
            on_update=application.serve_if_ready,
        )
    )
    reports = flow_reports.MonitoringPages(core, peers, log, clock)
    application.add_component(
        http.HttpServer(
            address_lib.Address(settings.ip, settings.metrics_port),
            reports.page,
        )
    )

    def apply(loaded: settings_lib.FlowSettings) -> None:
        application.set_settings(loaded)
        peers.set_seeds(tuple(seed.host for seed in loaded.seeds))
        core.warmup.set_bounds(
            overage=loaded.warmup_overage, slack=loaded.warmup_slack
        )

    settings_watcher = settings_watcher_lib.SettingsWatcher(
        path, settings, load=settings_file.load, apply=apply, log=log
    )
    application.on_reload = settings_watcher.reload
    application.add_component(settings_watcher)
    application.add_component(
        http.HttpServer(
            settings.ready,
            lambda target: http.Page(200 if application.ready else 503),
        )
    )
    return application


def _bind(
    address: address_lib.Address,
    name: str,
    max_bytes: int,
    core: core_lib.FlowCore,
) -> udp.UdpDatagrams:
    try:
        return udp.UdpDatagrams(
            address, name=name, max_bytes=max_bytes, counters=core.counters
        )
    except OSError as exc:
        raise errors.ConfigError(
            f"cannot bind {address}: {exc.strerror}"
        ) from exc
