"""Orders of operators to evacuate failure domains."""

from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from cyclamenridge.flow import holds
from cyclamenridge.flow import position as position_lib

Position = position_lib.Position

# Withdrawals are remembered so that older orders, which peers or a restored
# store tell of, do not return. This bounds a snapshot to a few kilobytes.
MAX_WITHDRAWN = 100


class Order(msgspec.Struct, frozen=True):
    """Newest order or withdrawal that is known for a failure domain.

    :param position: store position at which it was written
    :param since_ms: when it took effect here
    """

    is_in_force: bool
    position: Position
    since_ms: int


class OrderSnapshot(msgspec.Struct, frozen=True):
    """Orders that a balancer transfers to a peer.

    :param position: store position up to which changes are applied
    :param listed: positions of orders by domain, in force or held
    :param withdrawn: positions of recent withdrawals by domain
    """

    position: Position
    listed: dict[str, Position]
    withdrawn: dict[str, Position]


def _no_op(now_ms: int, domain: str, position: Position) -> None:
    """Default callback."""


class Evacuations:
    """Orders by failure domain; older changes never replace newer ones.

    A store that was restored from an older copy may lack an order, which then
    stays in force until the store withdraws it again. It may also list an
    order that was withdrawn, which then has to be confirmed by time.

    :ivar position: store position up to which changes are applied
    :ivar changes: number of orders and withdrawals that took effect
    :ivar on_withdrawn: called with the time, the failure domain and the
        position of a withdrawal that took effect
    """

    def __init__(
        self,
        *,
        hold_ms: int,
        has_servers: Callable[[str], bool],
        log_event: Callable[..., None],
    ) -> None:
        """Create the state without any order.

        :param hold_ms: time that confirms an order of a restored store
        :param has_servers: whether a failure domain has listed servers
        :param log_event: called with the name and the fields of an event
        """
        self.position = Position()
        self.changes = 0
        self.on_withdrawn: Callable[[int, str, Position], None] = _no_op
        self._hold_ms = hold_ms
        self._has_servers = has_servers
        self._log_event = log_event
        self._orders: dict[str, Order] = {}
        # The value is whether the store lists an order for the domain.
        self._holds: holds.Holds[bool] = holds.Holds()
        self._logged_domains: set[str] = set()

    def is_evacuated(self, domain: str) -> bool:
        """Return whether an order for a failure domain is in force."""
        order = self._orders.get(domain)
        return order is not None and order.is_in_force

    def find(self, domain: str) -> Order | None:
        """Return the newest order or withdrawal of a failure domain."""
        return self._orders.get(domain)

    def domains(self) -> list[str]:
        """Return the failure domains that are evacuated."""
        return [
            name for name, item in self._orders.items() if item.is_in_force
        ]

    def dump(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return the state of each domain for operators."""
        return {
            domain: {
                "in_force": order.is_in_force,
                "epoch": order.position.epoch,
                "revision": order.position.revision,
                "changed_ms_ago": now_ms - order.since_ms,
                "held": self._holds.get(domain) is not None,
                "known_domain": self._has_servers(domain),
            }
            for domain, order in self._orders.items()
        }

    def order(
        self, now_ms: int, domain: str, position: Position, *, source: str
    ) -> bool:
        """Apply an order that was written; return whether it took effect.

        :param source: ``store`` or ``peer``, for the log
        """
        if not domain:
            self._log_once(domain, "evacuation_without_domain")
            return False
        known = self._orders.get(domain)
        if known is not None and known.position >= position:
            return False
        self._holds.discard(domain)
        return self._set(
            now_ms, domain, position, is_in_force=True, source=source
        )

    def withdraw(
        self, now_ms: int, domain: str, position: Position, *, source: str
    ) -> bool:
        """Apply a withdrawal; return whether an order was in force."""
        known = self._orders.get(domain)
        if not domain or (known is not None and known.position >= position):
            return False
        self._holds.discard(domain)
        is_changed = self._set(
            now_ms, domain, position, is_in_force=False, source=source
        )
        self._evict_withdrawn()
        return is_changed

    def replace(
        self,
        now_ms: int,
        position: Position,
        listed: Mapping[str, Position],
        *,
        withdrawn: Mapping[str, Position] | None = None,
        source: str,
    ) -> None:
        """Apply a complete list of orders.

        :param position: store position at which reading the list began
        :param withdrawn: withdrawals that a peer remembers
        """
        for domain, withdrawn_at in (withdrawn or {}).items():
            self.withdraw(now_ms, domain, withdrawn_at, source=source)
        for domain, ordered_at in listed.items():
            if self._may_be_outdated(domain, ordered_at):
                self._hold_order(now_ms, domain, ordered_at, source)
            else:
                self.order(now_ms, domain, ordered_at, source=source)
        for domain in list(self._orders):
            if domain not in listed:
                self._drop(now_ms, domain, position, source)
        self.advance(position)

    def _may_be_outdated(self, domain: str, ordered_at: Position) -> bool:
        """Return whether a listed order may precede a known withdrawal.

        An order in a copy has a smaller revision than its withdrawal. One
        that was written in an epoch after this process read the store is new.
        """
        known = self._orders.get(domain)
        return (
            known is not None
            and not known.is_in_force
            and known.position.epoch < ordered_at.epoch
            and ordered_at.revision <= known.position.revision
            and (
                self.position.epoch < ordered_at.epoch
                or self.position >= ordered_at
            )
        )

    def _hold_order(
        self, now_ms: int, domain: str, position: Position, source: str
    ) -> None:
        if self._hold(now_ms, domain, position, is_listed=True).is_confirmed(
            now_ms
        ):
            self.order(now_ms, domain, position, source=source)

    def _drop(
        self, now_ms: int, domain: str, position: Position, source: str
    ) -> None:
        """Withdraw an order that a list omits, unless a restore lost it."""
        order = self._orders[domain]
        if not order.is_in_force:
            self._holds.discard(domain)
        elif order.position.epoch < position.epoch:
            self._hold(now_ms, domain, position, is_listed=False)
        else:
            self.withdraw(now_ms, domain, position, source=source)

    def _hold(
        self, now_ms: int, domain: str, position: Position, *, is_listed: bool
    ) -> holds.Held[bool]:
        known = self._holds.get(domain)
        if known is None or known.position.epoch != position.epoch:
            self._log_event(
                "evacuation_held",
                domain=domain,
                epoch=position.epoch,
                revision=position.revision,
                listed=is_listed,
            )
        return self._holds.hold(
            now_ms,
            domain,
            position,
            is_listed,
            hold_ms=self._hold_ms if is_listed else None,
        )

    def settle(self, now_ms: int) -> None:
        """Apply the orders that were held for long enough."""
        for domain, held in self._holds.pop_confirmed(now_ms):
            self.order(now_ms, domain, held.position, source="store")

    def restart_holds(self, now_ms: int) -> None:
        """Hold everything anew, because the store was away meanwhile."""
        self._holds.restart(now_ms)

    def advance(self, position: Position) -> None:
        """Record that all changes up to a store position are applied."""
        self.position = max(self.position, position)

    def snapshot(self) -> OrderSnapshot:
        """Return the orders and withdrawals for a peer."""
        listed = {
            domain: order.position
            for domain, order in self._orders.items()
            if order.is_in_force
        }
        for domain in self._holds:
            held = self._holds.get(domain)
            if held is not None and held.value:
                listed[domain] = held.position
        return OrderSnapshot(
            self.position,
            listed,
            {
                domain: order.position
                for domain, order in self._orders.items()
                if not order.is_in_force
            },
        )

    def apply_snapshot(self, now_ms: int, snapshot: OrderSnapshot) -> bool:
        """Apply a peer's orders; return False unless the peer is ahead."""
        if snapshot.position <= self.position:
            return False
        self.replace(
            now_ms,
            snapshot.position,
            snapshot.listed,
            withdrawn=snapshot.withdrawn,
            source="peer",
        )
        return True

    def _set(
        self,
        now_ms: int,
        domain: str,
        position: Position,
        *,
        is_in_force: bool,
        source: str,
    ) -> bool:
        known = self._orders.get(domain)
        if is_in_force == (known is not None and known.is_in_force):
            since_ms = now_ms if known is None else known.since_ms
            self._orders[domain] = Order(is_in_force, position, since_ms)
            return False
        self._orders[domain] = Order(is_in_force, position, now_ms)
        self.changes += 1
        self._log_event(
            "evacuation_ordered" if is_in_force else "evacuation_withdrawn",
            domain=domain,
            epoch=position.epoch,
            revision=position.revision,
            source=source,
        )
        if not is_in_force:
            self.on_withdrawn(now_ms, domain, position)
        elif not self._has_servers(domain):
            self._log_once(domain, "evacuation_unknown_domain")
        return True

    def _log_once(self, domain: str, event: str) -> None:
        if domain not in self._logged_domains:
            self._logged_domains.add(domain)
            self._log_event(event, domain=domain)

    def _evict_withdrawn(self) -> None:
        withdrawn = [
            (order.position, domain)
            for domain, order in self._orders.items()
            if not order.is_in_force
        ]
        if len(withdrawn) > MAX_WITHDRAWN:
            del self._orders[min(withdrawn)[1]]
