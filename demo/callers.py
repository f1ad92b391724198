"""Caller process of the demo: ``python -m demo.callers --help``."""

import asyncio
import base64
import pathlib
import random
from typing import Annotated

import msgspec
import typer

from cyclamenridge import address as address_lib
from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import session as session_lib
from demo import account
from tests.standins import server_model

_DEADLINE_MS = 4000
_BULK_DEADLINE_MS = 8000
_BULK_BYTES = 100_000
# The last requests may take their whole deadline and a resend.
_END_S = 20.0


class Work(msgspec.Struct, frozen=True):
    """Requests of one kind from one session after the other."""

    service: str
    kind: str
    idempotent: bool
    payload_bytes: int
    deadline_ms: int


WORK = (
    Work("counter", "setting", False, 40, _DEADLINE_MS),
    Work("counter", "status", True, 40, _DEADLINE_MS),
    Work("workshop", "setting-batch", False, 3000, _DEADLINE_MS),
    Work("workshop", "dump", False, _BULK_BYTES, _BULK_DEADLINE_MS),
)
FEEDS = (("counter", "door"), ("workshop", "bench"))


class Caller:
    """Runs the work of one process and records what it was told."""

    def __init__(
        self, name: str, client: client_lib.Client, customer: str
    ) -> None:
        self.name = name
        self.requests: list[account.RequestRecord] = []
        self.feeds: list[account.FeedRecord] = []
        self._client = client
        self._customer = customer

    async def work(self, worker: int, work: Work, end_ms: int) -> None:
        """Send requests one after the other until the end."""
        client = self._client
        session = session_lib.Session(client, work.service, self._customer)
        number = 0
        while client.clock.now_ms() < end_ms:
            number += 1
            name = f"{work.service}/{work.kind}/{self.name}/{worker}/{number}"
            payload = f"{name} ".encode()
            payload += client.rng.randbytes(
                max(0, work.payload_bytes - len(payload))
            )
            started_ms = client.clock.now_ms()
            outcome = await session.call(
                work.kind,
                payload,
                deadline_ms=work.deadline_ms,
                idempotent=work.idempotent,
            )
            self._record(work, name, payload, started_ms, outcome, session)
            pause_ms = client.rng.expovariate(1 / 40)
            if isinstance(outcome, outcomes.NotRun):
                pause_ms += min(outcome.retry_after_ms, 1000)
            await asyncio.sleep(pause_ms / 1000)
        await session.close()

    def _record(
        self,
        work: Work,
        name: str,
        payload: bytes,
        started_ms: int,
        outcome: outcomes.Outcome,
        session: session_lib.Session,
    ) -> None:
        label, reason, by, answer_ok = "unknown", "", "", True
        match outcome:
            case outcomes.Answered(payload=answer):
                label = "answered"
                prefix = answer.split(b" ", 1)[0].decode(errors="replace")
                service, _, by = prefix.partition("/")
                expected = server_model.answer(service, by, payload)
                answer_ok = service == work.service and answer == expected
            case outcomes.Failed():
                label = "failed"
            case outcomes.NotRun():
                label, reason = "not_run", outcome.reason.value
            case outcomes.Unknown():
                reason = outcome.reason.value
        self.requests.append(
            account.RequestRecord(
                name=name,
                service=work.service,
                kind=work.kind,
                idempotent=work.idempotent,
                started_ms=started_ms,
                ended_ms=self._client.clock.now_ms(),
                outcome=label,
                reason=reason,
                answered_by=by,
                answer_ok=answer_ok,
                token=base64.b64encode(session.last_token).decode(),
            )
        )

    async def listen(self, service: str, kind: str, end_ms: int) -> None:
        """Listen to a feed until the end."""
        client = self._client
        session = session_lib.Session(client, service, self._customer)
        feed = await session.subscribe(kind)
        events = missed = wrong = 0
        while (left_ms := end_ms - client.clock.now_ms()) > 0:
            try:
                item = await asyncio.wait_for(feed.next(), left_ms / 1000)
            except TimeoutError:
                break
            if not isinstance(item, outcomes.FeedEvent):
                continue
            events += 1
            missed += item.missed
            where, _, number = item.payload.decode().rpartition("/")
            wrong += (
                not where.startswith(f"{service}/")
                or not where.endswith(f"/{feed.feed_id}")
                or int(number) != item.seq
            )
        breaks = feed.breaks
        await feed.close()
        await session.close()
        self.feeds.append(
            account.FeedRecord(service, events, missed, breaks, wrong)
        )


async def _run(
    name: str,
    balancers: tuple[address_lib.Address, ...],
    customer: str,
    *,
    seed: int,
    seconds: float,
    feeds: int,
) -> account.CallerReport:
    rng = random.Random(f"{seed}/{name}")
    async with client_lib.Client(balancers, rng=rng) as client:
        caller = Caller(name, client, customer)
        end_ms = client.clock.now_ms() + round(seconds * 1000)
        async with asyncio.timeout(seconds + _END_S):
            async with asyncio.TaskGroup() as group:
                for worker, work in enumerate(WORK):
                    group.create_task(caller.work(worker, work, end_ms))
                for service, kind in FEEDS:
                    for _ in range(feeds):
                        group.create_task(caller.listen(service, kind, end_ms))
        return account.CallerReport(caller.requests, caller.feeds)


def main(
    *,
    name: Annotated[str, typer.Option()],
    balancer: Annotated[list[str], typer.Option(help="HOST:PORT")],
    customer: Annotated[str, typer.Option()],
    output: Annotated[pathlib.Path, typer.Option()],
    seed: int = 1,
    seconds: float = 15.0,
    feeds: Annotated[int, typer.Option(help="Feeds per service.")] = 5,
) -> None:
    """Send requests, listen to feeds and write what was told."""
    balancers = tuple(map(address_lib.Address.parse, balancer))
    report = asyncio.run(
        _run(
            name,
            balancers,
            customer,
            seed=seed,
            seconds=seconds,
            feeds=feeds,
        )
    )
    output.write_bytes(msgspec.json.encode(report))


if __name__ == "__main__":
    typer.run(main)
