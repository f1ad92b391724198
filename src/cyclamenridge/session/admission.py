"""Admission checks of a new request, before any of it is stored."""

from cyclamenridge.config import model
from cyclamenridge.node import context as context_lib
from cyclamenridge.session import memory as memory_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.session import state as state_lib
from cyclamenridge.wire import caller

Reason = caller.Reason


def find_kind(
    ctx: context_lib.Context, session: state_lib.Session, name: str
) -> model.Kind | None:
    """Return a kind of the session's service, None if there is none."""
    kind = ctx.config.kinds.get(name) if ctx.config is not None else None
    if kind is None or kind.service != session.service:
        return None
    return kind


def time_limit_ms(
    ctx: context_lib.Context, session: state_lib.Session, params: caller.Call
) -> int:
    """Return the time limit of a request in milliseconds.

    The limit of the kind caps the deadline that the caller asks for, so that
    no caller occupies a slot or delays a planned stop for longer than the
    operators allow.
    """
    kind = find_kind(ctx, session, params.kind)
    if kind is None:
        return params.deadline_ms
    return min(params.deadline_ms, kind.deadline_ms)


def rejection_reason(
    ctx: context_lib.Context,
    memory: memory_lib.MemoryAccount,
    session: state_lib.Session,
    params: caller.Call,
) -> Reason | None:
    """Return why a new request is rejected, None if it is accepted."""
    if ctx.leaving:
        return Reason.LEAVING
    kind = find_kind(ctx, session, params.kind)
    if (
        kind is None
        or kind.mode is model.Mode.FEED
        or params.part >= params.parts
    ):
        return Reason.BAD_REQUEST
    # All parts except the last one have the maximum size.
    min_bytes = (params.parts - 1) * caller.MAX_PART_BYTES + 1
    min_bytes = max(min_bytes, len(params.payload))
    if min_bytes > kind.max_bytes:
        return Reason.TOO_LARGE
    needed_bytes = min_bytes + parts_lib.buffer_bytes(params.parts)
    if not memory.has_room(session, needed_bytes):
        return Reason.OVERLOADED
    return None
