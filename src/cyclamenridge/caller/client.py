"""Caller library: one socket and the requests sent from it."""

import asyncio
import random
from typing import TypeVar

import msgspec

import cyclamenridge.address as address_lib
from cyclamenridge.caller import endpoint as endpoint_lib
from cyclamenridge.caller import outcomes
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Reason = outcomes.Reason
_Result = TypeVar("_Result", bound=msgspec.Struct)

_FIRST_RESEND_MS = 150
_MAX_RESEND_MS = 1000
_NONCE_LIMIT = 2**53


class RefusedError(errors.CallerError):
    """A balancer refused ``open``, ``subscribe`` or ``keepalive``."""

    def __init__(self, refusal: caller.Refusal) -> None:
        super().__init__(f"refused: {refusal.reason.value or 'no reason'}")
        self.refusal = refusal


class Client:
    """Speaks to the balancers from one UDP socket."""

    def __init__(
        self,
        balancers: tuple[address_lib.Address, ...],
        *,
        rng: random.Random | None = None,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.rng = rng or random.Random()
        self.clock = clock or clock_lib.MonotonicClock()
        self.endpoint = endpoint_lib.Endpoint(balancers, self.rng)

    async def __aenter__(self) -> "Client":
        await self.endpoint.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.endpoint.close()

    async def ask(
        self,
        method: str,
        params: msgspec.Struct,
        result: type[_Result],
        *,
        timeout_ms: int,
    ) -> _Result:
        """Send a request until it is answered.

        :param params: the same in each copy, so that a repeated copy has no
            further effect
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[rpc.Response] = loop.create_future()

        def answered(response: rpc.Response) -> None:
            if not fut.done():
                fut.set_result(response)

        msgid = self.endpoint.register(answered)
        deadline_ms = self.clock.now_ms() + timeout_ms
        interval_ms = _FIRST_RESEND_MS
        try:
            while not fut.done():
                left_ms = deadline_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise errors.CallerError(f"{method}: no answer in time")
                self.endpoint.request(msgid, method, params)
                wait_ms = interval_ms * self.rng.uniform(0.8, 1.2)
                await asyncio.wait({fut}, timeout=min(wait_ms, left_ms) / 1000)
                interval_ms = min(interval_ms * 2, _MAX_RESEND_MS)
        finally:
            self.endpoint.release(msgid)
        response = fut.result()
        try:
            if response.error is not None:
                refusal = msgspec.convert(response.error, caller.Refusal)
                raise RefusedError(refusal)
            return msgspec.msgpack.decode(response.result, type=result)
        except msgspec.MsgspecError as exc:
            raise errors.CallerError(f"{method}: {exc}") from exc

    def nonce(self) -> int:
        """Return a number that ties the copies of one request together."""
        return self.rng.randrange(1, _NONCE_LIMIT)
