"""Which balancers exist and which of them own a session or feed."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.control import types as control
from cyclamenridge.node import context as context_lib
from cyclamenridge.routing import homes
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
MemberState = control.MemberState

# A balancer that has just started does not know its peers yet. During
# this time it forwards to an owner it has not heard of; afterwards such
# an owner counts as lost. Gossip needs about 3 s for a whole fleet.
LEARNING_MS = 5000


class Owner(enum.Enum):
    """State of the owner named in a token."""

    ME = "me"
    PEER = "peer"
    LEAVING = "leaving"
    LOST = "lost"


class Directory:
    """Members of the fleet and the home sets of the services."""

    def __init__(self, ctx: context_lib.Context) -> None:
        self._ctx = ctx
        self._me = ctx.me
        self._started_ms = 0
        self._by_address: dict[Address, control.Member] = {}
        self._states: dict[str, MemberState] = {}
        self._homes = homes.HomeSets()
        # Failure domains with a balancer that is not dead.
        self.failure_domains: frozenset[str] = frozenset()
        self.version = 0
        self._rules: dict[str, homes.HomeRule] = {}
        self._rules_of: model.Config | None = None

    def start(self, now_ms: int) -> None:
        """Begin to learn about peers."""
        self._started_ms = now_ms

    def update(self, members: tuple[control.Member, ...]) -> frozenset[str]:
        """Take the members that the control plane knows now.

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
            # After a replacement two names may share an address; the
            # one that is not dead answers there.
            if known is None or known.state is MemberState.DEAD:
                self._by_address[member.balancer.peer_address] = member
        self._states[self._me.name] = (
            MemberState.LEAVING if self._ctx.leaving else MemberState.ALIVE
        )
        return self._rebuild(members)

    def is_provisional(self, now_ms: int, token: token_lib.Token) -> bool:
        """Tell whether a node that has just started may yet hear of it."""
        return (
            now_ms - self._started_ms < LEARNING_MS
            and token.owner not in self._by_address
            and token.owner != self._me.peer_address
        )

    def home(self, service: str) -> tuple[homes.Balancer, ...]:
        """Return the home set of a service."""
        return self._homes.get(service)

    def state(self, name: str) -> MemberState:
        """Return the state of a member."""
        return self._states.get(name, MemberState.DEAD)

    def states(self) -> dict[str, str]:
        """Return the states of all members by name."""
        return {name: state.name for name, state in self._states.items()}

    def place(
        self, service: str, key: bytes, *, exclude_me: bool = False
    ) -> homes.Balancer | None:
        """Return the member that takes a new session, feed or packet.

        Members that are alive come before suspects. Without a reachable
        member this balancer serves the service itself.
        """
        found = self.usable(service, exclude_me=exclude_me)
        if found:
            return homes.owner(key, found)
        return None if exclude_me else self._me

    def usable(
        self, service: str, *, exclude_me: bool = False
    ) -> tuple[homes.Balancer, ...]:
        """Return the members of the home set that take new flows."""
        home = [
            member
            for member in self.home(service)
            if not (exclude_me and member.name == self._me.name)
        ]
        for wanted in (MemberState.ALIVE, MemberState.SUSPECT):
            found = tuple(
                member for member in home if self.state(member.name) is wanted
            )
            if found:
                return found
        return ()

    def owner(self, now_ms: int, token: token_lib.Token) -> Owner:
        """Return the state of the owner that a token names."""
        if token.owner == self._me.peer_address:
            if token.incarnation == self._me.incarnation:
                return Owner.ME
            return Owner.LOST
        member = self._by_address.get(token.owner)
        if member is None:
            provisional = self.is_provisional(now_ms, token)
            return Owner.PEER if provisional else Owner.LOST
        if (
            member.state is MemberState.DEAD
            or member.balancer.incarnation > token.incarnation
        ):
            return Owner.LOST
        if member.state is MemberState.LEAVING:
            return Owner.LEAVING
        return Owner.PEER

    def _rebuild(self, members: tuple[control.Member, ...]) -> frozenset[str]:
        cfg = self._ctx.config
        if cfg is None:
            return frozenset()
        present = {
            member.balancer.name: member.balancer
            for member in members
            if member.state is not MemberState.DEAD
        }
        present[self._me.name] = self._me
        self.failure_domains = frozenset(
            balancer.failure_domain for balancer in present.values()
        )
        if cfg is not self._rules_of:
            self._rules_of = cfg
            self._rules = {
                name: homes.HomeRule(service.home_set_size, _domains(service))
                for name, service in cfg.services.items()
            }
        return self._homes.update(self._rules, present)


def _domains(service: model.Service) -> frozenset[str]:
    return frozenset(
        server.failure_domain for server in service.servers.values()
    )
