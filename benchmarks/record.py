"""Record format of benchmark results."""

import msgspec


class Record(msgspec.Struct, frozen=True):
    """A measured value.

    :param policy: name of the measured policy, implementation or baseline
    """

    experiment: str
    policy: str
    seed: int
    metric: str
    unit: str
    value: float
