"""Backend servers as the store and the peers list them."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum

import msgspec

from cyclamenridge import address as address_lib


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Listing(msgspec.Struct, frozen=True):
    """An entry of a backend server.

    :param ident: number that a datagram names the server by
    :param warmup_ms: how long the server stays slow after this was written
    :param born_ms: start of the incarnation, Unix time in milliseconds
    :param revision: store revision of the entry
    """

    name: str
    ident: int
    service: str
    address: address_lib.Address
    failure_domain: str
    slots: int
    state: ServerState
    warmup_ms: int
    born_ms: int
    revision: int


class Known:
    """A backend server that this process has heard of.

    :ivar removed_ms: when its entry was removed, None while it is listed
    :ivar warm_ms: when it is expected to have warmed up
    """

    __slots__ = ("listing", "removed_ms", "revision", "token", "warm_ms")

    def __init__(self, listing: Listing, now_ms: int) -> None:
        self.listing = listing
        self.revision = listing.revision
        self.token = token_of(listing.ident)
        self.removed_ms: int | None = None
        self.warm_ms = now_ms + listing.warmup_ms


# Servers that were removed are kept for their flows, and somewhat longer as
# their end is known late.
KEEP_FACTOR = 1.5


def token_of(ident: int) -> int:
    """Return the 32 bits that name a backend server in packets.

    Identities of up to 32 bits stand for themselves, so that they cannot
    collide; longer ones are folded.
    """
    token = ident
    while token >> 32:
        token = token & 0xFFFFFFFF ^ token >> 32
    return token or 1


class Directory:
    """Servers by name and by token; never goes back to older entries."""

    def __init__(self, longest_flow_ms: int) -> None:
        self.revision = 0
        self._keep_ms = longest_flow_ms * KEEP_FACTOR
        self._known: dict[str, Known] = {}
        self._tokens: dict[int, Known] = {}
        # Made again from _known when they are asked for: a start puts
        # thousands of entries at once.
        self._services: dict[str, list[Known]] = {}
        self._ready: dict[str, list[Known]] = {}
        self._is_indexed = True

    def __iter__(self) -> Iterator[Known]:
        return iter(self._known.values())

    def __len__(self) -> int:
        return len(self._known)

    def get(self, name: str) -> Known | None:
        """Return a server by name."""
        return self._known.get(name)

    def by_token(self, token: int) -> Known | None:
        """Return the server that a token names."""
        return self._tokens.get(token)

    def of_service(self, service: str) -> list[Known]:
        """Return the listed servers of a service."""
        self._index()
        return self._services.get(service, [])

    def ready_of(self, service: str) -> list[Known]:
        """Return the servers of a service that take new flows."""
        self._index()
        return self._ready.get(service, [])

    def put(self, now_ms: int, listing: Listing) -> bool:
        """Take an entry; return whether it was news."""
        known = self._known.get(listing.name)
        if known is not None and known.revision >= listing.revision:
            return False
        fresh = Known(listing, now_ms)
        if known is not None and known.listing.born_ms == listing.born_ms:
            # The time left is told at the start; later entries repeat it.
            fresh.warm_ms = min(fresh.warm_ms, known.warm_ms)
        self._known[listing.name] = fresh
        holder = self._tokens.get(fresh.token)
        if (
            holder is None
            or holder.listing.name == listing.name
            or holder.removed_ms is not None
        ):
            self._tokens[fresh.token] = fresh
        self._is_indexed = False
        return True

    def remove(self, now_ms: int, name: str, revision: int) -> bool:
        """Take the removal of an entry; return whether it was news."""
        known = self._known.get(name)
        if known is None or known.revision >= revision:
            return False
        known.revision = revision
        if known.removed_ms is not None:
            return False
        known.removed_ms = now_ms
        self._is_indexed = False
        return True

    def replace(
        self, now_ms: int, revision: int, listings: Iterable[Listing]
    ) -> tuple[list[str], list[str]]:
        """Take a whole listing; return the names put and removed.

        :param revision: store revision from which the listing was read on
        """
        put = []
        names = set()
        for listing in listings:
            names.add(listing.name)
            if self.put(now_ms, listing):
                put.append(listing.name)
        removed = [
            name
            for name, known in list(self._known.items())
            if name not in names and self.remove(now_ms, name, revision)
        ]
        self.reached(revision)
        return put, removed

    def reached(self, revision: int) -> None:
        """Note that all changes up to a store revision are known."""
        self.revision = max(self.revision, revision)

    def forget(self, now_ms: int) -> list[str]:
        """Drop servers that were removed long ago; return their names."""
        names = [
            name
            for name, known in self._known.items()
            if known.removed_ms is not None
            and now_ms - known.removed_ms > self._keep_ms
        ]
        for name in names:
            known = self._known.pop(name)
            if self._tokens.get(known.token) is known:
                del self._tokens[known.token]
        return names

    def is_ambiguous(self, known: Known) -> bool:
        """Return whether the token leads to another server."""
        return self._tokens.get(known.token) is not known

    def _index(self) -> None:
        if self._is_indexed:
            return
        self._is_indexed = True
        services: dict[str, list[Known]] = {}
        for known in self._known.values():
            if known.removed_ms is None:
                services.setdefault(known.listing.service, []).append(known)
        self._services = services
        self._ready = {
            service: [
                known
                for known in members
                if known.listing.state is ServerState.READY
                and not self.is_ambiguous(known)
            ]
            for service, members in services.items()
        }
