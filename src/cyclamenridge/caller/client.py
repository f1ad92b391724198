"""Caller library: requests to balancers over one UDP socket."""

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
    """Client of the balancers with one UDP socket."""

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

    async def request(
        self,
        method: str,
        params: msgspec.Struct,
        result: type[_Result],
        *,
        timeout_ms: int,
    ) -> _Result:
        """Send a request and resend it until a response arrives.

        :param params: identical in each copy, so that duplicates have no
            further effect
        :raises RefusedError: if a balancer refuses the request
        :raises CallerError: if no valid response arrives in time
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[rpc.Response] = loop.create_future()

        def on_response(response: rpc.Response) -> None:
            if not fut.done():
                fut.set_result(response)

        msgid = self.endpoint.add_response_handler(on_response)
        deadline_ms = self.clock.now_ms() + timeout_ms
        interval_ms = _FIRST_RESEND_MS
        try:
            while not fut.done():
                remaining_ms = deadline_ms - self.clock.now_ms()
                if remaining_ms <= 0:
                    raise errors.CallerError(
                        f"{method}: no response within {timeout_ms} ms"
                    )
                self.endpoint.request(msgid, method, params)
                wait_ms = interval_ms * self.rng.uniform(0.8, 1.2)
                await asyncio.wait(
                    {fut}, timeout=min(wait_ms, remaining_ms) / 1000
                )
                interval_ms = min(interval_ms * 2, _MAX_RESEND_MS)
        finally:
            self.endpoint.remove_response_handler(msgid)
        response = fut.result()
        try:
            if response.error is not None:
                refusal = msgspec.convert(response.error, caller.Refusal)
                raise RefusedError(refusal)
            return msgspec.msgpack.decode(response.result, type=result)
        except msgspec.MsgspecError as exc:
            raise errors.CallerError(f"{method}: {exc}") from exc

    def new_nonce(self) -> int:
        """Return a number that identifies all resends of a request."""
        return self.rng.randrange(1, _NONCE_LIMIT)
