"""Test oracle: checks runs, outcomes, answers and events against the rules.

It records every run at the servers and every outcome reported to callers.
Violations are collected and raised by ``verify``.
"""

import collections

from cyclamenridge.wire import caller

Outcome = caller.Outcome


class RunLog(list):
    """Runs of all servers; each is checked by the oracle as it starts."""

    def __init__(self, oracle):
        super().__init__()
        self._oracle = oracle

    def append(self, record):
        super().append(record)
        self._oracle.on_run(record)


class Oracle:
    """Checks the guarantees of the balancers.

    :param idempotent: kinds whose requests may run more than once
    :ivar runs: number of runs by session id and sequence number
    :ivar started: session id, sequence number and check of started requests
    :ivar reported: outcomes reported to callers, by the same key
    :ivar wrong_service_count: runs, answers, packets and events of another
        service, session or feed
    """

    def __init__(self, idempotent):
        self.idempotent = idempotent
        self.services = {}  # session id -> service
        self.runs = collections.Counter()
        self.started = set()
        self.reported = {}
        self.outcomes = collections.Counter()
        self.violations = []
        self.wrong_service_count = 0
        self.run_log = RunLog(self)

    def register_session(self, session_id, service):
        known = self.services.setdefault(session_id, service)
        if known != service:
            self.violations.append(f"session {session_id} has two services")

    def on_run(self, record):
        """Check the start of a run."""
        key = (record.session_id, record.seq)
        self.runs[key] += 1
        self.started.add((*key, record.check))
        if self.runs[key] > 1 and record.kind not in self.idempotent:
            self.violations.append(f"{key} {record.kind} ran twice")
        if Outcome.NOT_RUN in self.reported.get((*key, record.check), ()):
            self.violations.append(f"{key} ran after not_run was reported")
        payload_matches = record.payload.startswith(
            record.service.encode() + b":"
        )
        if not payload_matches:
            self.violations.append(f"{key} reached {record.service}")
        session_matches = (
            self.services.get(record.session_id, record.service)
            == record.service
        )
        if not session_matches:
            self.violations.append(f"{key} ran at another service")
        if not (payload_matches and session_matches):
            self.wrong_service_count += 1

    def report_outcome(self, session_id, seq, check, outcome):
        """Record and check an outcome that was reported to a caller."""
        key = (session_id, seq, check)
        self.outcomes[outcome] += 1
        self.reported.setdefault(key, set()).add(outcome)
        if outcome is Outcome.NOT_RUN and key in self.started:
            self.violations.append(f"{key} was reported as not_run but ran")

    def check_answer(self, request, payload):
        """Check that a complete answer belongs to its request."""
        key = (request.session.ident, request.seq, request.check)
        head, _, echo = payload.partition(b" ")
        service = head.split(b"/")[0].decode()
        if echo != request.payload[:4096] or (
            service != request.session.service
        ):
            self.wrong_service_count += 1
            self.violations.append(f"{key} got a wrong answer: {payload[:60]}")
        if key not in self.started:
            self.violations.append(f"{key} was answered without a run")

    def check_packet(self, service, payload):
        """Check the service of a packet, at a server or at its caller."""
        if payload != service.encode() + b":packet":
            self.wrong_service_count += 1
            self.violations.append(f"{service} got packet {payload}")

    def check_lost_feed(self, feed, flow_exists):
        """Check that a feed reported as lost has no flow at its server."""
        if flow_exists:
            self.violations.append(f"feed {feed.ident} lost, server alive")

    def check_event(self, feed, event):
        """Check an event, whose payload has service, flow id and number."""
        parts = event.payload.split(b"/")
        if (
            parts[0] != feed.session.service.encode()
            or int(parts[2]) != feed.ident
            or int(parts[3]) != event.seq
        ):
            self.wrong_service_count += 1
            self.violations.append(f"feed {feed.ident} got {event.payload}")

    def verify(self):
        """Fail if a rule was violated."""
        assert not self.violations, self.violations
