import asyncio
import contextlib
import random

import msgspec
import pytest

from cyclamenridge import address as address_lib
from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import feed as feed_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import session as session_lib
import cyclamenridge.clock as clock_lib
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.standins import waiting

Reason = outcomes.Reason
Outcome = caller.Outcome


class Balancer(asyncio.DatagramProtocol):
    """Test balancer that can lose and duplicate datagrams.

    :param request_outcomes: outcome and reason of the requests of each of the
        first sessions
    :param keepalive_responses: responses to keepalives, in order
    """

    def __init__(
        self,
        *,
        loss=0.0,
        request_outcomes=(),
        silent=False,
        keepalive_responses=(),
    ):
        self.rng = random.Random(7)
        self.loss = loss
        self.request_outcomes = list(request_outcomes)
        self.silent = silent
        self.keepalive_responses = list(keepalive_responses)
        self.session_count = 0
        self.open_count = 0
        self.refused_opens = 0
        self.executed = []
        self.acks = []
        self.cancelled = []
        self.keepalives = []
        self.parts = {}
        self.unanswered_seq = None
        self.caller = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.caller = addr
        if self.rng.random() < self.loss:
            return
        message = rpc.decode(data)
        for _ in range(2 if self.rng.random() < self.loss else 1):
            getattr(self, message.method)(message)

    def send(self, data):
        if not self.silent and self.rng.random() >= self.loss:
            self.transport.sendto(data, self.caller)

    def respond(self, message, result):
        self.send(rpc.response(message.msgid, result))

    def open(self, message):
        self.open_count += 1
        if self.open_count <= self.refused_opens:
            refusal = caller.Refusal(Reason.NO_SERVER, 500)
            self.send(rpc.error_response(message.msgid, refusal))
            return
        self.session_count += 1
        self.respond(message, caller.Grant(b"session %d" % self.session_count))

    def call(self, message):
        call = msgspec.msgpack.decode(message.params, type=caller.Call)
        parts = self.parts.setdefault((call.token, call.seq), {})
        parts[call.part] = call.payload
        if call.seq == self.unanswered_seq and call.payload == b"slow":
            return
        reply = {"seq": call.seq, "check": call.check}
        if len(parts) < call.parts:
            gap = min(set(range(call.parts)) - parts.keys())
            pending = caller.Reply(**reply, outcome=Outcome.PENDING, part=gap)
            self.respond(message, pending)
            return
        index = int(call.token.split()[1]) - 1
        if index < len(self.request_outcomes):
            outcome, reason = self.request_outcomes[index]
            self.respond(
                message, caller.Reply(**reply, outcome=outcome, reason=reason)
            )
            return
        payload = b"".join(parts[part] for part in range(call.parts))
        if (call.token, call.seq) not in self.executed:
            self.executed.append((call.token, call.seq))
        assert caller.payload_check(payload) == call.check
        chunks = [payload[i : i + 1024] for i in range(0, len(payload), 1024)]
        for part, chunk in enumerate(chunks):
            self.respond(
                message,
                caller.Reply(
                    **reply,
                    outcome=Outcome.ANSWERED,
                    part=part,
                    parts=len(chunks),
                    payload=chunk,
                ),
            )

    def ack(self, message):
        self.acks.append(message)

    def close(self, message):
        pass

    def cancel(self, message):
        self.cancelled.append(message)

    def subscribe(self, message):
        self.respond(message, caller.FeedGrant(b"feed 1", 5))
        self.events(range(1, 4))

    def keepalive(self, message):
        params = msgspec.msgpack.decode(message.params, type=caller.Keepalive)
        self.keepalives.append(params)
        if self.keepalive_responses:
            granted = self.keepalive_responses.pop(0)
            if isinstance(granted, caller.Refusal):
                self.send(rpc.error_response(message.msgid, granted))
                return
        self.respond(message, caller.FeedGrant(b"feed 2", 5))
        self.events(range(params.last_seq + 1, 7))

    def events(self, seqs):
        for seq in seqs:
            event = caller.Event(5, seq, b"%d" % seq)
            self.send(rpc.notification("event", event))


@contextlib.asynccontextmanager
async def open_session(balancer):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: balancer, local_addr=("127.0.0.1", 0)
    )
    address = address_lib.Address(*transport.get_extra_info("sockname"))
    async with client_lib.Client((address,), rng=random.Random(3)) as client:
        yield session_lib.Session(client, "album", "c")
    transport.close()


def test_large_request_and_answer_survive_loss():
    """Guards against answers changed by lost or duplicated datagrams (P3)."""

    async def run():
        balancer = Balancer(loss=0.2)
        payload = random.Random(1).randbytes(60_000)
        async with open_session(balancer) as session:
            outcome = await session.call("upload", payload, deadline_ms=20_000)
            balancer.loss = 0
            again = await session.call("upload", payload[:2000])
            await waiting.until(lambda: balancer.acks)
        assert outcome == outcomes.Answered(payload)
        assert again == outcomes.Answered(payload[:2000])
        assert len(balancer.executed) == 2

    asyncio.run(run())


def test_request_refused_by_a_leaving_balancer_is_sent_again():
    """Guards against a failed request during a planned stop (P7).

    ``not_run`` proves that it did not run, so it may be sent again.
    """

    async def run():
        balancer = Balancer(
            request_outcomes=[(Outcome.NOT_RUN, Reason.LEAVING)] * 2
        )
        async with open_session(balancer) as session:
            assert await session.call("e", b"x") == outcomes.Answered(b"x")
        assert balancer.executed == [(b"session 3", 1)]

    asyncio.run(run())


@pytest.mark.parametrize("idempotent", [False, True])
def test_unknown_is_only_repeated_when_idempotent(idempotent):
    """Guards against running a non-idempotent request twice (P5)."""

    async def run():
        balancer = Balancer(
            request_outcomes=[(Outcome.UNKNOWN, Reason.OWNER_LOST)]
        )
        async with open_session(balancer) as session:
            outcome = await session.call("e", b"x", idempotent=idempotent)
            if idempotent:
                assert outcome == outcomes.Answered(b"x")
            else:
                assert outcome == outcomes.Unknown(Reason.OWNER_LOST)
                again = await session.call("e", b"y")
                assert again == outcomes.Answered(b"y")
        assert balancer.session_count == 2

    asyncio.run(run())


def test_cancelled_task_cancels_the_request():
    """Guards against a request that runs on without a caller."""

    async def run():
        balancer = Balancer()
        async with open_session(balancer) as session:
            await session.token()
            balancer.silent = True
            task = asyncio.create_task(session.call("e", b"x"))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.05)
        assert len(balancer.cancelled) == 1

    asyncio.run(run())


def test_feed_uses_the_newest_token_and_reopens_after_a_break(monkeypatch):
    """Guards against a lost feed that is neither reported nor reopened."""
    monkeypatch.setattr(feed_lib, "KEEPALIVE_MS", 50)

    async def run():
        refusal = caller.Refusal(Reason.SERVER_LOST)
        granted = caller.FeedGrant(b"feed 2", 5)
        balancer = Balancer(keepalive_responses=[granted, granted, refusal])
        async with open_session(balancer) as session:
            feed = await session.subscribe("feed")
            items = [await asyncio.wait_for(feed.next(), 3) for _ in range(10)]
            await feed.close()
        seqs = [getattr(item, "seq", 0) for item in items]
        assert seqs == [1, 2, 3, 4, 5, 6, 0, 1, 2, 3]
        assert items[6] == outcomes.FeedBroken(Reason.SERVER_LOST)
        tokens = [params.token for params in balancer.keepalives]
        assert tokens[:2] == [b"feed 1", b"feed 2"]

    asyncio.run(run())


def test_malformed_responses_are_counted():
    """Guards against malformed datagrams that break the endpoint."""

    async def run():
        balancer = Balancer()
        async with open_session(balancer) as session:
            await session.token()
            endpoint = session._client.endpoint
            for data in (b"", b"\xc1", b"\x93\x02\xa5event\x01", b"\x90"):
                endpoint.datagram_received(data, ("127.0.0.1", 1))
            assert endpoint.malformed_count == 4
            assert await session.call("e", b"x") == outcomes.Answered(b"x")

    asyncio.run(run())


def test_idle_session_is_replaced_before_it_expires():
    """Guards against ``unknown`` for a request in an expired session."""

    async def run():
        balancer = Balancer()
        async with open_session(balancer) as session:
            clock = clock_lib.ManualClock(session._client.clock.now_ms())
            session._client.clock = clock
            await session.call("e", b"x")
            clock.advance(session_lib.MAX_IDLE_MS)
            await session.call("e", b"x")
            assert balancer.session_count == 1
            clock.advance(session_lib.MAX_IDLE_MS + 1)
            await session.call("e", b"x")
            assert balancer.session_count == 2

    asyncio.run(run())


def test_long_request_does_not_block_later_requests():
    """Guards against sequence numbers beyond the window of the balancer.

    The balancer ignores numbers too far above a request in progress.
    """

    async def run():
        balancer = Balancer()
        async with open_session(balancer) as session:
            await session.token()
            balancer.unanswered_seq = 1
            slow = asyncio.create_task(session.call("e", b"slow"))
            await asyncio.sleep(0)
            for _ in range(session_lib.MAX_SEQ_SPAN + 5):
                await session.call("e", b"x")
            slow.cancel()
            await asyncio.gather(slow, return_exceptions=True)
        assert balancer.session_count == 2
        seqs = {token: seq for token, seq in balancer.executed}
        assert seqs == {
            b"session 1": session_lib.MAX_SEQ_SPAN + 1,
            b"session 2": 5,
        }

    asyncio.run(run())


@pytest.mark.parametrize("refusals", [3, 99])
def test_open_is_retried_at_another_balancer(refusals):
    """Guards against a failure by one balancer without a configuration."""

    async def run():
        balancer = Balancer()
        balancer.refused_opens = refusals
        async with open_session(balancer) as session:
            outcome = await session.call("e", b"x")
        if refusals < session_lib.MAX_OPEN_RETRIES:
            assert outcome == outcomes.Answered(b"x")
        else:
            assert outcome == outcomes.NotRun(Reason.NO_SERVER, 500)

    asyncio.run(run())
