"""A configuration together with its revision, as kept in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One accepted revision of the configuration.

    :param revision: number that grows by one with each accepted file
    :param digest: BLAKE2b-128 of ``body`` in hexadecimal
    :param apply_id: identifies the apply operation that wrote this revision
    :param history: newest earlier operations as (revision, apply id)
    :param body: the accepted file as YAML text
    """

    revision: int
    digest: str
    apply_id: str
    history: tuple[tuple[int, str], ...]
    body: str
