"""Result of a benchmark."""

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One measured value.

    :param policy: what was measured: the project's policy or a baseline
    """

    experiment: str
    policy: str
    seed: int
    metric: str
    unit: str
    value: float
