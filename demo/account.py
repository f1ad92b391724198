"""Compares what callers were told with what the servers did."""

import base64
import collections
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from cyclamenridge.wire import token as token_lib
from tests.standins import server as server_lib

DRAIN_LIMIT_MS = 3000
# Until a balancer is declared dead, callers go on to send requests of its
# sessions, and their outcome cannot be proved either.
DEAD_LIMIT_MS = 3000


class RequestRecord(msgspec.Struct, frozen=True):
    """What a caller was told about one request.

    :param name: first word of the payload, unique in the demo
    :param token: session token in base64, names the owner
    """

    name: str
    service: str
    kind: str
    idempotent: bool
    started_ms: int
    ended_ms: int
    outcome: str
    reason: str
    answered_by: str
    answer_ok: bool
    token: str


class FeedRecord(msgspec.Struct, frozen=True):
    """What a caller saw of one feed."""

    service: str
    events: int
    missed: int
    breaks: int
    wrong: int


class CallerReport(msgspec.Struct, frozen=True):
    """Result of one caller process; times are CLOCK_MONOTONIC."""

    requests: list[RequestRecord]
    feeds: list[FeedRecord]


class Fault(msgspec.Struct, frozen=True):
    """A balancer that did not answer for a time.

    :param owner: peer address of the balancer
    """

    owner: str
    from_ms: int
    to_ms: int


class Account(msgspec.Struct, frozen=True):
    """Last line of the demo.

    :param findings: violations of the guarantees; empty when all is right
    """

    requests: int
    answered: int
    refused: int
    failed: int
    unknown: int
    runs: int
    feeds: int
    events: int
    missed_events: int
    broken_flows: int
    wrong_service: int
    run_twice: int
    refused_but_ran: int
    stop_codes: list[int]
    findings: list[str]
    ok: bool
    seed: int
    seconds: float


def check(
    reports: Iterable[CallerReport],
    servers: Iterable[server_lib.RunRecords],
    *,
    faults: Sequence[Fault],
    stop_codes: list[int],
    codec: token_lib.TokenCodec,
    seed: int,
    seconds: float,
) -> Account:
    """Return the account of a run.

    :param faults: balancers that were killed or paused; only requests in
        progress at one of them may be unknown
    :param stop_codes: exit codes of the balancers that were stopped
    """
    reports = list(reports)
    servers = list(servers)
    requests = [req for report in reports for req in report.requests]
    feeds = [feed for report in reports for feed in report.feeds]
    runs = collections.defaultdict(list)
    findings = []
    wrong_service = 0
    for server in servers:
        for run in server.runs:
            name = run.payload.split(b" ", 1)[0].decode()
            runs[name].append(run)
            if name.split("/", 1)[0] != server.service:
                wrong_service += 1
                findings.append(f"{name} ran in service {server.service}")
            if (
                server.drained_ms is not None
                and run.started_ms > server.drained_ms + DRAIN_LIMIT_MS
            ):
                findings.append(f"{name} ran on a server that was draining")
    run_twice = refused_but_ran = 0
    for req in requests:
        ran = runs[req.name]
        if len(ran) > 1 and not req.idempotent:
            run_twice += 1
            findings.append(f"{req.name} ran {len(ran)} times")
        if req.outcome == "not_run" and ran:
            refused_but_ran += 1
            findings.append(f"{req.name} was refused but ran")
        if req.outcome == "answered":
            if not any(run.server == req.answered_by for run in ran):
                findings.append(f"{req.name} was answered but did not run")
            if not req.answer_ok:
                findings.append(f"{req.name} got a wrong answer")
        if req.outcome == "unknown":
            owner = str(codec.decode(base64.b64decode(req.token)).owner)
            if not any(
                owner == fault.owner
                and req.started_ms <= fault.to_ms + DEAD_LIMIT_MS
                and req.ended_ms >= fault.from_ms
                for fault in faults
            ):
                findings.append(
                    f"{req.name} is unknown ({req.reason}) without a cause"
                )
    known = {req.name for req in requests}
    findings += [f"{name} was never sent" for name in runs.keys() - known]
    broken = sum(feed.breaks for feed in feeds)
    if broken:
        findings.append(f"{broken} feeds broke")
    if any(feed.wrong for feed in feeds):
        findings.append("a feed got an event of another service or feed")
    if any(not feed.events for feed in feeds):
        findings.append("a feed got no events")
    if any(stop_codes):
        findings.append("a planned stop did not end with exit code 0")
    outcomes = collections.Counter(req.outcome for req in requests)
    if not outcomes["answered"]:
        findings.append("no request was answered")
    return Account(
        requests=len(requests),
        answered=outcomes["answered"],
        refused=outcomes["not_run"],
        failed=outcomes["failed"],
        unknown=outcomes["unknown"],
        runs=sum(map(len, runs.values())),
        feeds=len(feeds),
        events=sum(feed.events for feed in feeds),
        missed_events=sum(feed.missed for feed in feeds),
        broken_flows=broken,
        wrong_service=wrong_service,
        run_twice=run_twice,
        refused_but_ran=refused_but_ran,
        stop_codes=stop_codes,
        findings=findings[:20],
        ok=not findings,
        seed=seed,
        seconds=round(seconds, 1),
    )
