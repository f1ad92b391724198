"""Compares the outcomes at the callers with the runs at the servers."""

import base64
import collections
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from cyclamenridge.wire import token as token_lib
from tests.standins import server as server_lib

# How long after the start of its drain a server may still start requests.
DRAIN_GRACE_MS = 3000
# Until a balancer is declared dead, callers continue to send requests of its
# sessions, and the outcome of these requests cannot be determined either.
FAILURE_DETECTION_MS = 3000


class RequestRecord(msgspec.Struct, frozen=True):
    """One request and its outcome at the caller.

    :param name: first word of the payload, unique in the demo
    :param outcome: answered, failed, not_run or unknown
    :param reason: why a request was not run or its outcome is unknown
    :param answered_by: name of the server in the answer
    :param answer_ok: the answer is the expected one
    :param token: session token in base64, contains the owner's address
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
    """Counts of one feed at the caller.

    :param missed: events that the feed reported as missed
    :param breaks: flows that ended on their server
    :param wrong: events of another service or feed, or with a wrong number
    """

    service: str
    events: int
    missed: int
    breaks: int
    wrong: int


class CallerReport(msgspec.Struct, frozen=True):
    """Records of one caller process; times are CLOCK_MONOTONIC."""

    requests: list[RequestRecord]
    feeds: list[FeedRecord]


class Fault(msgspec.Struct, frozen=True):
    """A balancer that was killed, or paused for a time.

    :param owner: peer address of the balancer
    :param from_ms: start; equal to ``to_ms`` if the balancer was killed
    """

    owner: str
    from_ms: int
    to_ms: int


class Summary(msgspec.Struct, frozen=True):
    """Totals and violations of a run; the last line of the demo.

    :param refused: requests that were not run
    :param runs: runs of requests on all servers
    :param broken_flows: flows of feeds that ended on their server
    :param wrong_service: runs on a server of another service
    :param findings: the first 20 violations of the guarantees
    :param ok: there are no violations
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
) -> Summary:
    """Check the records of a run and return its summary.

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
        if server.wrong_links:
            findings.append(
                f"{server.server} got {server.wrong_links} hellos that named "
                "another server"
            )
        for run in server.runs:
            name = run.payload.split(b" ", 1)[0].decode()
            runs[name].append(run)
            if name.split("/", 1)[0] != server.service:
                wrong_service += 1
                findings.append(f"{name} ran in service {server.service}")
            if (
                server.drained_ms is not None
                and run.started_ms > server.drained_ms + DRAIN_GRACE_MS
            ):
                findings.append(f"{name} ran on a server that was draining")
    run_twice = refused_but_ran = 0
    for req in requests:
        request_runs = runs[req.name]
        if len(request_runs) > 1 and not req.idempotent:
            run_twice += 1
            findings.append(f"{req.name} ran {len(request_runs)} times")
        if req.outcome == "not_run" and request_runs:
            refused_but_ran += 1
            findings.append(f"{req.name} was refused but ran")
        if req.outcome == "answered":
            if not any(run.server == req.answered_by for run in request_runs):
                findings.append(f"{req.name} was answered but did not run")
            if not req.answer_ok:
                findings.append(f"{req.name} got a wrong answer")
        if req.outcome == "unknown":
            owner = str(codec.decode(base64.b64decode(req.token)).owner)
            if not any(
                owner == fault.owner
                and req.started_ms <= fault.to_ms + FAILURE_DETECTION_MS
                and req.ended_ms >= fault.from_ms
                for fault in faults
            ):
                findings.append(
                    f"{req.name} has an unknown outcome ({req.reason}) "
                    "without a fault"
                )
    sent = {req.name for req in requests}
    findings += [f"{name} was never sent" for name in runs.keys() - sent]
    broken_flows = sum(feed.breaks for feed in feeds)
    if broken_flows:
        findings.append(f"{broken_flows} flows of feeds ended on their server")
    if any(feed.wrong for feed in feeds):
        findings.append(
            "a feed received an event of another feed or a wrong number"
        )
    if any(not feed.events for feed in feeds):
        findings.append("a feed received no events")
    if any(stop_codes):
        findings.append("a planned stop did not end with exit code 0")
    outcome_counts = collections.Counter(req.outcome for req in requests)
    if not outcome_counts["answered"]:
        findings.append("no request was answered")
    return Summary(
        requests=len(requests),
        answered=outcome_counts["answered"],
        refused=outcome_counts["not_run"],
        failed=outcome_counts["failed"],
        unknown=outcome_counts["unknown"],
        runs=sum(map(len, runs.values())),
        feeds=len(feeds),
        events=sum(feed.events for feed in feeds),
        missed_events=sum(feed.missed for feed in feeds),
        broken_flows=broken_flows,
        wrong_service=wrong_service,
        run_twice=run_twice,
        refused_but_ran=refused_but_ran,
        stop_codes=stop_codes,
        findings=findings[:20],
        ok=not findings,
        seed=seed,
        seconds=round(seconds, 1),
    )
