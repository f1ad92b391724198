"""Input and output types of the control plane."""

import dataclasses
import enum

from cyclamenridge.config import document as document_lib
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.routing import home_sets
from cyclamenridge.routing import pinned_flows
from cyclamenridge.scheduling import types as scheduling


class MemberState(enum.IntEnum):
    """Liveness state of a balancer in the member list."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A balancer and its liveness state."""

    balancer: home_sets.Balancer
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReceived:
    """Demand that another member of a home set reported."""

    peer: str
    demand: scheduling.ServiceDemand


@dataclasses.dataclass(frozen=True, slots=True)
class PinnedFilterReceived:
    """Filter, sent by a member, of flows without a token and their server."""

    peer: str
    service: str
    filter: pinned_flows.PinnedFilter


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Result of one step of the control plane.

    :param effects: datagrams, store calls and state changes to carry out
    :param adopted: newer configuration document, in force from now on
    :param demands: demands received from other balancers
    :param filters: filters of flows without a token, received from other
        balancers
    :param members_changed: a member was added, removed or changed state
    """

    effects: tuple[effects_lib.Effect, ...] = ()
    adopted_document: document_lib.Document | None = None
    demands: tuple[DemandReceived, ...] = ()
    filters: tuple[PinnedFilterReceived, ...] = ()
    members_changed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DemandTarget:
    """A demand and the members of the home set to send it to."""

    demand: scheduling.ServiceDemand
    members: tuple[str, ...]
