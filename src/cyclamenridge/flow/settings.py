"""Settings of a balancer process on the platform."""

import msgspec

from cyclamenridge import address as address_lib


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's key-value service."""

    address: address_lib.Address


class FlowSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process needs to know of its machine and of the platform.

    :param packets: address that packets of clients arrive at
    :param ready: address that is asked whether the process takes packets
    :param seeds: peers to ask first; empty when none are told
    :param peer_ports: first and last port for traffic between balancers
    :param stop_ms: time between SIGTERM and SIGKILL
    :param change_ms: time until a configuration, or a server that leaves, has
        to be known
    :param contact_ms: time after a disruption within which nothing is due
    :param longest_flow_ms: time after which a flow may be forgotten
    :param metrics_port: port that metrics and the state dump are served on
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
    metrics_port: int


class Intervals(msgspec.Struct, frozen=True, kw_only=True):
    """Times that follow from the bounds of an installation.

    :param gather_ms: changes that come within this time are fetched with one
        call, as calls are priced
    :param watch_ms: time that the store may hold a watch without changes
    :param behind_ms: a peer that is ahead for longer is asked for a snapshot
    """

    gather_ms: int
    watch_ms: int
    behind_ms: int


# Longer would tell late of servers that came or went.
_MAX_GATHER_MS = 2000
# Time for the answer of a watch on its way.
_WATCH_MARGIN_MS = 1000
# An idle watch asks the store at most twice a second.
_MIN_WATCH_MS = 500


def intervals_of(settings: FlowSettings) -> Intervals:
    """Return the intervals that keep a change within its bound.

    A watch whose connection went silent in a disruption has to be noticed
    before changes are due again. Gathering takes a third of the bound of a
    change and waiting for the store half of it, so that either leaves time
    for the call that follows.
    """
    return Intervals(
        gather_ms=min(_MAX_GATHER_MS, settings.change_ms // 3),
        watch_ms=max(settings.contact_ms - _WATCH_MARGIN_MS, _MIN_WATCH_MS),
        behind_ms=settings.change_ms // 2,
    )
