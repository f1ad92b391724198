"""Table of the sessions of a node, and the opening of new ones."""

import collections
from collections.abc import Iterator

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.session import state as state_lib
from cyclamenridge.wire import caller
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
Reason = caller.Reason
Session = state_lib.Session

SESSION_IDLE_MS = 120_000
# A session takes about 1 KB without payloads.
MAX_SESSIONS = 200_000
_OVERLOADED_RETRY_MS = 1000
_LEAVING_RETRY_MS = 100
_NO_CONFIG_RETRY_MS = 500


class SessionTable:
    """Sessions by id, ordered by last use."""

    def __init__(
        self, ctx: context_lib.Context, services: services_lib.ServiceRuntimes
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._sessions: collections.OrderedDict[int, Session] = (
            collections.OrderedDict()
        )
        self._ident_by_open_key: dict[tuple[str, str, int, Address], int] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    def __getitem__(self, ident: int) -> Session:
        return self._sessions[ident]

    def get(self, ident: int) -> Session | None:
        """Return a session."""
        return self._sessions.get(ident)

    def touch(self, now_ms: int, ident: int) -> Session | None:
        """Return a session and mark it as just used."""
        session = self._sessions.get(ident)
        if session is not None:
            session.last_used_ms = now_ms
            self._sessions.move_to_end(ident)
        return session

    def handle_open(
        self, now_ms: int, source: Address, msgid: int, params: caller.Open
    ) -> None:
        """Grant a session; a resend gets the same one again."""
        open_key = (params.service, params.customer, params.nonce, source)
        known_ident = self._ident_by_open_key.get(open_key)
        cfg = self._ctx.config
        if known_ident is not None:
            token = self._sessions[known_ident].token
            self._ctx.respond(source, msgid, caller.Grant(token))
        elif self._ctx.leaving:
            self._ctx.send_refusal(
                source, msgid, Reason.LEAVING, _LEAVING_RETRY_MS
            )
        elif cfg is None:
            self._ctx.send_refusal(
                source, msgid, Reason.NO_SERVER, _NO_CONFIG_RETRY_MS
            )
        elif (
            params.service not in cfg.services
            or params.customer not in cfg.customers
        ):
            self._ctx.send_refusal(source, msgid, Reason.BAD_REQUEST)
        elif len(self._sessions) >= MAX_SESSIONS:
            self._ctx.send_refusal(
                source, msgid, Reason.OVERLOADED, _OVERLOADED_RETRY_MS
            )
        else:
            session = self._add(now_ms, open_key)
            self._ctx.counters["sessions_opened"] += 1
            self._ctx.respond(source, msgid, caller.Grant(session.token))

    def idle_sessions(self, now_ms: int) -> Iterator[Session]:
        """Yield idle sessions, least recently used first.

        The consumer must use or remove each one before it takes the next.
        """
        while self._sessions:
            session = next(iter(self._sessions.values()))
            if now_ms - session.last_used_ms < SESSION_IDLE_MS:
                return
            yield session

    def remove(self, session: Session) -> None:
        """Remove a session."""
        del self._sessions[session.ident]
        del self._ident_by_open_key[session.open_key]
        runtime = self._services.get(session.service)
        if runtime is not None:
            runtime.users -= 1

    def _add(
        self, now_ms: int, open_key: tuple[str, str, int, Address]
    ) -> Session:
        service, customer, _, _ = open_key
        runtime = self._services.get_or_create(now_ms, service)
        assert runtime is not None
        runtime.users += 1
        me = self._ctx.me
        ident = self._ctx.rng.getrandbits(64)
        token = self._ctx.token_codec.encode(
            token_lib.Token(
                type=token_lib.TokenType.SESSION,
                service=token_lib.name_hash(service),
                owner=me.peer_address,
                incarnation=me.incarnation,
                ident=ident,
            )
        )
        session = Session(ident, service, customer, token, open_key, now_ms)
        self._sessions[ident] = session
        self._ident_by_open_key[open_key] = ident
        return session
