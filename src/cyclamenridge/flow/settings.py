"""Settings of a balancer process on the platform."""

import msgspec

from cyclamenridge import address as address_lib


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address of the platform's key-value store."""

    address: address_lib.Address


class FlowSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a process: its machine, its addresses and its time limits.

    :param packets: address that packets of clients arrive at
    :param ready: address of the readiness check
    :param seeds: peers to contact first, may be empty
    :param peer_ports: first and last port for traffic between balancers
    :param stop_ms: time between SIGTERM and SIGKILL
    :param change_ms: time within which a new configuration, or the drain of a
        server, has to take effect
    :param contact_ms: time after a disruption in which no change has to take
        effect
    :param longest_flow_ms: maximum lifetime of a flow
    :param report_interval_ms: interval at which servers report to the store
    :param warmup_overage: factor on the rate of cold servers
    :param warmup_slack: flows a second that a cold server may get on top
    :param metrics_port: port that serves metrics and the state dump
    :param evacuation_ms: time within which an order to evacuate a failure
        domain has to take effect
    """

    name: str
    failure_domain: str
    ip: str
    packets: address_lib.Address
    ready: address_lib.Address
    seeds: tuple[address_lib.Address, ...]
    peer_ports: tuple[int, int]
    store: StoreSettings
    stop_ms: int
    change_ms: int
    contact_ms: int
    longest_flow_ms: int
    report_interval_ms: int
    metrics_port: int
    evacuation_ms: int = 5000
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0


class Intervals(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals that follow from the time limits of an installation.

    :param coalesce_ms: pause after a batch of changes, so that one call
        fetches all changes of this time, because calls are charged for
    :param watch_wait_ms: time that the store may hold a watch without changes
    :param lag_tolerance_ms: time that a peer may be ahead before its snapshot
        is fetched
    """

    coalesce_ms: int
    watch_wait_ms: int
    lag_tolerance_ms: int


# A longer pause would delay the discovery of added and removed servers.
_MAX_COALESCE_MS = 2000
# Time that the answer to a watch may take on the network.
_WATCH_MARGIN_MS = 1000
# Limits an idle watch to two calls a second.
_MIN_WATCH_WAIT_MS = 500


def intervals_of(settings: FlowSettings) -> Intervals:
    """Return the intervals that let changes take effect in time.

    A watch on a dead connection has to time out before ``contact_ms`` is over
    and changes are due again. Coalescing takes a third of the shorter of
    ``change_ms`` and ``evacuation_ms``, and waiting for the store half of it;
    each leaves time for the call that follows.
    """
    change_ms = min(settings.change_ms, settings.evacuation_ms)
    return Intervals(
        coalesce_ms=min(_MAX_COALESCE_MS, change_ms // 3),
        watch_wait_ms=max(
            settings.contact_ms - _WATCH_MARGIN_MS, _MIN_WATCH_WAIT_MS
        ),
        lag_tolerance_ms=change_ms // 2,
    )
