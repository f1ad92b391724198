"""Switches of the scheduler for experiments."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parts that experiments switch off to measure what they bring.

    :param exchange: divide slots by the demands that members tell
    :param foreign_slots: try servers outside the own slots
    :param own_slots_only: hold back work when the own slots are in use
    :param admission: refuse when the expected wait is too long
    """

    exchange: bool = True
    foreign_slots: bool = True
    own_slots_only: bool = True
    admission: bool = True
