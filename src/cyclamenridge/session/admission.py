"""Checks of a new request before any of it is kept."""

from cyclamenridge.config import model
from cyclamenridge.node import context as context_lib
from cyclamenridge.session import memory as memory_lib
from cyclamenridge.session import state as state_lib
from cyclamenridge.wire import caller

Reason = caller.Reason


def kind_of(
    ctx: context_lib.Context, session: state_lib.Session, name: str
) -> model.Kind | None:
    """Return the kind if it belongs to the service of the session."""
    kind = ctx.config.kinds.get(name) if ctx.config is not None else None
    if kind is None or kind.service != session.service:
        return None
    return kind


def time_limit_ms(
    ctx: context_lib.Context, session: state_lib.Session, params: caller.Call
) -> int:
    """Return how long a request may take.

    The limit of its kind bounds what a caller asks for, so that no caller
    holds a slot or a planned stop for longer than the operators allow.
    """
    kind = kind_of(ctx, session, params.kind)
    if kind is None:
        return params.deadline_ms
    return min(params.deadline_ms, kind.deadline_ms)


def screen(
    ctx: context_lib.Context,
    memory: memory_lib.Memory,
    session: state_lib.Session,
    params: caller.Call,
) -> Reason | None:
    """Return why a new request is refused, None if it is accepted."""
    if ctx.leaving:
        return Reason.LEAVING
    kind = kind_of(ctx, session, params.kind)
    if (
        kind is None
        or kind.mode is model.Mode.FEED
        or params.part >= params.parts
    ):
        return Reason.BAD_REQUEST
    # All parts but the last one are full.
    least = (params.parts - 1) * caller.MAX_PART_BYTES + 1
    if max(least, len(params.payload)) > kind.max_bytes:
        return Reason.TOO_LARGE
    if not memory.has_room(session, least):
        return Reason.OVERLOADED
    return None
