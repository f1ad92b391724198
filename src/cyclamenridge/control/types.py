"""Input and output types of the control plane."""

import dataclasses
import enum

from cyclamenridge.config import document as document_lib
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.routing import homes
from cyclamenridge.routing import pinned
from cyclamenridge.scheduling import types as scheduling


class MemberState(enum.IntEnum):
    """State of a balancer as its peers see it."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A balancer with its state."""

    balancer: homes.Balancer
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReceived:
    """A member of a home set told its demand."""

    peer: str
    demand: scheduling.ServiceDemand


@dataclasses.dataclass(frozen=True, slots=True)
class FilterReceived:
    """A member told where flows without a token are."""

    peer: str
    service: str
    filter: pinned.PinnedFilter


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Result of one step of the control plane.

    :param effects: datagrams, store calls and state changes to carry out
    :param adopted: a newer configuration that is in force from now on
    :param demands: demands told by other balancers
    :param filters: flows without a token that other balancers told
    :param members_changed: the list of members or their states changed
    """

    effects: tuple[effects_lib.Effect, ...] = ()
    adopted: document_lib.Document | None = None
    demands: tuple[DemandReceived, ...] = ()
    filters: tuple[FilterReceived, ...] = ()
    members_changed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DemandTarget:
    """A demand and the members of the home set that it is sent to."""

    demand: scheduling.ServiceDemand
    members: tuple[str, ...]
