"""Caller process that generates load: ``python -m demo.callers --help``."""

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
# Time after the end of the load for the last requests, which may take their
# whole deadline and a retransmission.
_COMPLETION_TIMEOUT_S = 20.0


class Workload(msgspec.Struct, frozen=True):
    """Requests of one kind that one session sends one at a time."""

    service: str
    kind: str
    idempotent: bool
    payload_bytes: int
    deadline_ms: int


WORKLOADS = (
    Workload("counter", "setting", False, 40, _DEADLINE_MS),
    Workload("counter", "status", True, 40, _DEADLINE_MS),
    Workload("workshop", "setting-batch", False, 3000, _DEADLINE_MS),
    Workload("workshop", "dump", False, _BULK_BYTES, _BULK_DEADLINE_MS),
)
FEEDS = (("counter", "door"), ("workshop", "bench"))


class Caller:
    """Generates the load of one process and records outcomes and events."""

    def __init__(
        self, name: str, client: client_lib.Client, customer: str
    ) -> None:
        self.name = name
        self.requests: list[account.RequestRecord] = []
        self.feeds: list[account.FeedRecord] = []
        self._client = client
        self._customer = customer

    async def send_requests(
        self, worker: int, workload: Workload, end_ms: int
    ) -> None:
        """Send requests one at a time until ``end_ms``.

        :param worker: index of the session, part of the request names
        """
        client = self._client
        session = session_lib.Session(client, workload.service, self._customer)
        number = 0
        while client.clock.now_ms() < end_ms:
            number += 1
            name = (
                f"{workload.service}/{workload.kind}/{self.name}/"
                f"{worker}/{number}"
            )
            payload = f"{name} ".encode()
            payload += client.rng.randbytes(
                max(0, workload.payload_bytes - len(payload))
            )
            started_ms = client.clock.now_ms()
            outcome = await session.call(
                workload.kind,
                payload,
                deadline_ms=workload.deadline_ms,
                idempotent=workload.idempotent,
            )
            self._record_request(
                workload, name, payload, started_ms, outcome, session
            )
            pause_ms = client.rng.expovariate(1 / 40)
            if isinstance(outcome, outcomes.NotRun):
                pause_ms += min(outcome.retry_after_ms, 1000)
            await asyncio.sleep(pause_ms / 1000)
        await session.close()

    def _record_request(
        self,
        workload: Workload,
        name: str,
        payload: bytes,
        started_ms: int,
        outcome: outcomes.Outcome,
        session: session_lib.Session,
    ) -> None:
        outcome_name, reason, server, answer_ok = "unknown", "", "", True
        match outcome:
            case outcomes.Answered(payload=answer):
                outcome_name = "answered"
                prefix = answer.split(b" ", 1)[0].decode(errors="replace")
                service, _, server = prefix.partition("/")
                expected = server_model.answer(service, server, payload)
                answer_ok = service == workload.service and answer == expected
            case outcomes.Failed():
                outcome_name = "failed"
            case outcomes.NotRun():
                outcome_name, reason = "not_run", outcome.reason.value
            case outcomes.Unknown():
                reason = outcome.reason.value
        self.requests.append(
            account.RequestRecord(
                name=name,
                service=workload.service,
                kind=workload.kind,
                idempotent=workload.idempotent,
                started_ms=started_ms,
                ended_ms=self._client.clock.now_ms(),
                outcome=outcome_name,
                reason=reason,
                answered_by=server,
                answer_ok=answer_ok,
                token=base64.b64encode(session.last_token).decode(),
            )
        )

    async def receive_feed(self, service: str, kind: str, end_ms: int) -> None:
        """Subscribe to a feed and check its events until ``end_ms``."""
        client = self._client
        session = session_lib.Session(client, service, self._customer)
        feed = await session.subscribe(kind)
        events = missed = wrong = 0
        while (remaining_ms := end_ms - client.clock.now_ms()) > 0:
            try:
                item = await asyncio.wait_for(feed.next(), remaining_ms / 1000)
            except TimeoutError:
                break
            if not isinstance(item, outcomes.FeedEvent):
                continue
            events += 1
            missed += item.missed
            feed_path, _, seq = item.payload.decode().rpartition("/")
            wrong += (
                not feed_path.startswith(f"{service}/")
                or not feed_path.endswith(f"/{feed.feed_id}")
                or int(seq) != item.seq
            )
        break_count = feed.break_count
        await feed.close()
        await session.close()
        self.feeds.append(
            account.FeedRecord(service, events, missed, break_count, wrong)
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
        async with asyncio.timeout(seconds + _COMPLETION_TIMEOUT_S):
            async with asyncio.TaskGroup() as group:
                for worker, workload in enumerate(WORKLOADS):
                    group.create_task(
                        caller.send_requests(worker, workload, end_ms)
                    )
                for service, kind in FEEDS:
                    for _ in range(feeds):
                        group.create_task(
                            caller.receive_feed(service, kind, end_ms)
                        )
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
    """Send requests, receive feeds and write a report of the outcomes."""
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
