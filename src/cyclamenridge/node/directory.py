"""Members of the fleet, home sets and the owners of sessions and feeds."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.control import types as control
from cyclamenridge.node import context as context_lib
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
MemberState = control.MemberState

# A balancer that has just started does not know its peers yet. During
# this time it forwards datagrams to owners that are not in its member
# list; afterwards such an owner counts as lost. Gossip reaches a whole
# fleet in about 3 s.
DISCOVERY_MS = 5000


class OwnerState(enum.Enum):
    """State of the balancer that a token names as owner."""

    LOCAL = "local"
    PEER = "peer"
    LEAVING = "leaving"
    LOST = "lost"


class Directory:
    """Members of the fleet and the home sets of the services.

    :ivar version: increases with each update of the members
    """

    def __init__(self, ctx: context_lib.Context) -> None:
        self._ctx = ctx
        self._me = ctx.me
        self._started_ms = 0
        self._by_address: dict[Address, control.Member] = {}
        self._states: dict[str, MemberState] = {}
        self._homes = home_sets.HomeSets()
        # Failure domains with a balancer that is not dead.
        self.failure_domains: frozenset[str] = frozenset()
        self.version = 0
        self._parameters: dict[str, home_sets.HomeSetParameters] = {}
        self._rules_config: model.Config | None = None

    def start(self, now_ms: int) -> None:
        """Start the discovery period."""
        self._started_ms = now_ms

    def update(self, members: tuple[control.Member, ...]) -> frozenset[str]:
        """Replace the members by those that the control plane knows.

        :returns: services whose home set has changed
        """
        self.version += 1
        self._by_address = {}
        self._states = {}
        for member in members:
            if member.balancer.name == self._me.name:
                continue
            self._states[member.balancer.name] = member.state
            known = self._by_address.get(member.balancer.peer_address)
            # After a replacement two members may share an address; only
            # the one that is not dead can answer there.
            if known is None or known.state is MemberState.DEAD:
                self._by_address[member.balancer.peer_address] = member
        self._states[self._me.name] = (
            MemberState.LEAVING if self._ctx.leaving else MemberState.ALIVE
        )
        return self._rebuild_home_sets(members)

    def is_provisional(self, now_ms: int, token: token_lib.Token) -> bool:
        """Tell whether the owner is unknown but may still be discovered."""
        return (
            now_ms - self._started_ms < DISCOVERY_MS
            and token.owner not in self._by_address
            and token.owner != self._me.peer_address
        )

    def home_set(self, service: str) -> tuple[home_sets.Balancer, ...]:
        """Return the home set of a service."""
        return self._homes.get(service)

    def member_state(self, name: str) -> MemberState:
        """Return the state of a member; unknown members count as dead."""
        return self._states.get(name, MemberState.DEAD)

    def member_states(self) -> dict[str, str]:
        """Return the states of all members by name."""
        return {name: state.name for name, state in self._states.items()}

    def select_member(
        self, service: str, key: bytes, *, exclude_me: bool = False
    ) -> home_sets.Balancer | None:
        """Return the member that takes a new session, feed or packet.

        Live members are preferred to suspected ones. When the home set has
        neither, this balancer is chosen, or None with ``exclude_me``.
        """
        members = self.eligible_members(service, exclude_me=exclude_me)
        if members:
            return home_sets.owner(key, members)
        return None if exclude_me else self._me

    def eligible_members(
        self, service: str, *, exclude_me: bool = False
    ) -> tuple[home_sets.Balancer, ...]:
        """Return the members of the home set that may take new flows.

        These are the live members, or the suspected ones if none is alive.
        """
        home = [
            member
            for member in self.home_set(service)
            if not (exclude_me and member.name == self._me.name)
        ]
        for state in (MemberState.ALIVE, MemberState.SUSPECT):
            members = tuple(
                member
                for member in home
                if self.member_state(member.name) is state
            )
            if members:
                return members
        return ()

    def owner_state(self, now_ms: int, token: token_lib.Token) -> OwnerState:
        """Return the state of the balancer that a token names as owner."""
        if token.owner == self._me.peer_address:
            if token.incarnation == self._me.incarnation:
                return OwnerState.LOCAL
            return OwnerState.LOST
        member = self._by_address.get(token.owner)
        if member is None:
            provisional = self.is_provisional(now_ms, token)
            return OwnerState.PEER if provisional else OwnerState.LOST
        if (
            member.state is MemberState.DEAD
            or member.balancer.incarnation > token.incarnation
        ):
            return OwnerState.LOST
        if member.state is MemberState.LEAVING:
            return OwnerState.LEAVING
        return OwnerState.PEER

    def _rebuild_home_sets(
        self, members: tuple[control.Member, ...]
    ) -> frozenset[str]:
        cfg = self._ctx.config
        if cfg is None:
            return frozenset()
        live = {
            member.balancer.name: member.balancer
            for member in members
            if member.state is not MemberState.DEAD
        }
        live[self._me.name] = self._me
        self.failure_domains = frozenset(
            balancer.failure_domain for balancer in live.values()
        )
        if cfg is not self._rules_config:
            self._rules_config = cfg
            self._parameters = {
                name: home_sets.HomeSetParameters(
                    service.home_set_size, _domains(service)
                )
                for name, service in cfg.services.items()
            }
        return self._homes.update(self._parameters, live)


def _domains(service: model.Service) -> frozenset[str]:
    return frozenset(
        server.failure_domain for server in service.servers.values()
    )
