"""Points in the history of the store."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True):
    """Point in the history of the store; a later one compares as greater.

    A store that is restored from an older copy gives out revisions again, so
    revisions are only comparable within an epoch.

    :param epoch: rises with each restore, 0 if the store does not tell
    :param revision: rises with each change within an epoch
    """

    epoch: int = 0
    revision: int = 0
