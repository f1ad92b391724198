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
    """Answers as a balancer would, and loses or repeats datagrams.

    :param refuse: reasons with which the sessions are answered in turn
    """

    def __init__(self, *, loss=0.0, refuse=(), silent=False, grants=()):
        self.rng = random.Random(7)
        self.loss = loss
        self.refuse = list(refuse)
        self.silent = silent
        self.grants = list(grants)
        self.sessions = 0
        self.opens = 0
        self.refuse_opens = 0
        self.ran = []
        self.acks = []
        self.cancelled = []
        self.keepalives = []
        self.parts = {}
        self.hold = None
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
        self.opens += 1
        if self.opens <= self.refuse_opens:
            refusal = caller.Refusal(Reason.NO_SERVER, 500)
            self.send(rpc.error_response(message.msgid, refusal))
            return
        self.sessions += 1
        self.respond(message, caller.Grant(b"session %d" % self.sessions))

    def call(self, message):
        call = msgspec.msgpack.decode(message.params, type=caller.Call)
        parts = self.parts.setdefault((call.token, call.seq), {})
        parts[call.part] = call.payload
        if call.seq == self.hold and call.payload == b"slow":
            return
        reply = {"seq": call.seq, "check": call.check}
        if len(parts) < call.parts:
            gap = min(set(range(call.parts)) - parts.keys())
            pending = caller.Reply(**reply, outcome=Outcome.PENDING, part=gap)
            self.respond(message, pending)
            return
        number = int(call.token.split()[1]) - 1
        if number < len(self.refuse):
            outcome, reason = self.refuse[number]
            self.respond(
                message, caller.Reply(**reply, outcome=outcome, reason=reason)
            )
            return
        payload = b"".join(parts[part] for part in range(call.parts))
        if (call.token, call.seq) not in self.ran:
            self.ran.append((call.token, call.seq))
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
        if self.grants:
            granted = self.grants.pop(0)
            if isinstance(granted, caller.Refusal):
                self.send(rpc.error_response(message.msgid, granted))
                return
        self.respond(message, caller.FeedGrant(b"feed 2", 5))
        self.events(range(params.last_seq + 1, 7))

    def events(self, numbers):
        for seq in numbers:
            event = caller.Event(5, seq, b"%d" % seq)
            self.send(rpc.notification("event", event))


@contextlib.asynccontextmanager
async def connected(balancer):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: balancer, local_addr=("127.0.0.1", 0)
    )
    address = address_lib.Address(*transport.get_extra_info("sockname"))
    async with client_lib.Client((address,), rng=random.Random(3)) as client:
        yield session_lib.Session(client, "album", "c")
    transport.close()


def test_large_request_and_answer_survive_loss():
    """Lost and repeated datagrams must not change an answer (P3)."""

    async def run():
        balancer = Balancer(loss=0.2)
        payload = random.Random(1).randbytes(60_000)
        async with connected(balancer) as session:
            got = await session.call("upload", payload, deadline_ms=20_000)
            balancer.loss = 0
            again = await session.call("upload", payload[:2000])
            await waiting.until(lambda: balancer.acks)
        assert got == outcomes.Answered(payload)
        assert again == outcomes.Answered(payload[:2000])
        assert len(balancer.ran) == 2

    asyncio.run(run())


def test_leaving_balancer_is_replaced_by_a_new_session():
    """not_run is a proof, so the request may be sent again (P7)."""

    async def run():
        balancer = Balancer(refuse=[(Outcome.NOT_RUN, Reason.LEAVING)] * 2)
        async with connected(balancer) as session:
            assert await session.call("e", b"x") == outcomes.Answered(b"x")
        assert balancer.ran == [(b"session 3", 1)]

    asyncio.run(run())


@pytest.mark.parametrize("idempotent", [False, True])
def test_unknown_is_only_repeated_when_idempotent(idempotent):
    """A non-idempotent request must run at most once (P5)."""

    async def run():
        balancer = Balancer(refuse=[(Outcome.UNKNOWN, Reason.OWNER_LOST)])
        async with connected(balancer) as session:
            got = await session.call("e", b"x", idempotent=idempotent)
            if idempotent:
                assert got == outcomes.Answered(b"x")
            else:
                assert got == outcomes.Unknown(Reason.OWNER_LOST)
                again = await session.call("e", b"y")
                assert again == outcomes.Answered(b"y")
        assert balancer.sessions == 2

    asyncio.run(run())


def test_cancelled_task_cancels_the_request():
    async def run():
        balancer = Balancer()
        async with connected(balancer) as session:
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
    """A refused keepalive must be reported and the feed opened again."""
    monkeypatch.setattr(feed_lib, "KEEPALIVE_MS", 50)

    async def run():
        refusal = caller.Refusal(Reason.SERVER_LOST)
        granted = caller.FeedGrant(b"feed 2", 5)
        balancer = Balancer(grants=[granted, granted, refusal])
        async with connected(balancer) as session:
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
    async def run():
        balancer = Balancer()
        async with connected(balancer) as session:
            await session.token()
            endpoint = session._client.endpoint
            for junk in (b"", b"\xc1", b"\x93\x02\xa5event\x01", b"\x90"):
                endpoint.datagram_received(junk, ("127.0.0.1", 1))
            assert endpoint.malformed == 4
            assert await session.call("e", b"x") == outcomes.Answered(b"x")

    asyncio.run(run())


def test_unused_session_is_replaced_before_its_owner_forgets_it():
    """A request in a forgotten session would be answered unknown."""

    async def run():
        balancer = Balancer()
        async with connected(balancer) as session:
            clock = clock_lib.ManualClock(session._client.clock.now_ms())
            session._client.clock = clock
            await session.call("e", b"x")
            clock.advance(session_lib.UNUSED_MS)
            await session.call("e", b"x")
            assert balancer.sessions == 1
            clock.advance(session_lib.UNUSED_MS + 1)
            await session.call("e", b"x")
            assert balancer.sessions == 2

    asyncio.run(run())


def test_long_request_does_not_block_the_numbers_after_it():
    """Numbers too far above a request in progress would be ignored."""

    async def run():
        balancer = Balancer()
        async with connected(balancer) as session:
            await session.token()
            balancer.hold = 1
            slow = asyncio.create_task(session.call("e", b"slow"))
            await asyncio.sleep(0)
            for _ in range(session_lib.MAX_SPAN + 5):
                await session.call("e", b"x")
            slow.cancel()
            await asyncio.gather(slow, return_exceptions=True)
        assert balancer.sessions == 2
        numbers = {token: seq for token, seq in balancer.ran}
        assert numbers == {
            b"session 1": session_lib.MAX_SPAN + 1,
            b"session 2": 5,
        }

    asyncio.run(run())


@pytest.mark.parametrize("refusals", [3, 99])
def test_balancer_that_has_just_started_is_not_the_last_word(refusals):
    """One balancer without a configuration must not fail a request."""

    async def run():
        balancer = Balancer()
        balancer.refuse_opens = refusals
        async with connected(balancer) as session:
            got = await session.call("e", b"x")
        if refusals < session_lib.MAX_OPENS:
            assert got == outcomes.Answered(b"x")
        else:
            assert got == outcomes.NotRun(Reason.NO_SERVER, 500)

    asyncio.run(run())
