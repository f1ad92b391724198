"""Switches of the scheduler for experiments."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Mechanisms that experiments switch off to measure their effect.

    :param demand_exchange: divide slots by the demands that members send
    :param foreign_slots: use slots of other members that are probably free
    :param own_slots_only: queue requests while all own slots are in use
    :param admission: refuse requests whose expected wait is too long
    """

    demand_exchange: bool = True
    foreign_slots: bool = True
    own_slots_only: bool = True
    admission: bool = True
