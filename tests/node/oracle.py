"""What really ran and what callers were told, and the rules for both."""

import collections

from cyclamenridge.wire import caller

Outcome = caller.Outcome


class RunLog(list):
    """Runs of all servers; each one is checked as it starts."""

    def __init__(self, oracle):
        super().__init__()
        self._oracle = oracle

    def append(self, record):
        super().append(record)
        self._oracle.ran(record)


class Oracle:
    def __init__(self, idempotent):
        self.idempotent = idempotent
        self.services = {}  # session id -> service
        self.runs = collections.Counter()
        self.checks = set()
        self.told = {}
        self.outcomes = collections.Counter()
        self.violations = []
        self.log = RunLog(self)

    def session(self, ident, service):
        known = self.services.setdefault(ident, service)
        if known != service:
            self.violations.append(f"session {ident} has two services")

    def ran(self, record):
        """Take the start of a run."""
        key = (record.session_id, record.seq)
        self.runs[key] += 1
        self.checks.add((*key, record.check))
        if self.runs[key] > 1 and record.kind not in self.idempotent:
            self.violations.append(f"{key} {record.kind} ran twice")
        if Outcome.NOT_RUN in self.told.get((*key, record.check), ()):
            self.violations.append(f"{key} ran after the caller heard not_run")
        if not record.payload.startswith(record.service.encode() + b":"):
            self.violations.append(f"{key} reached {record.service}")
        if self.services.get(record.session_id, record.service) != (
            record.service
        ):
            self.violations.append(f"{key} ran at another service")

    def tell(self, session_id, seq, check, outcome):
        """Take an outcome that a caller was told."""
        key = (session_id, seq, check)
        self.outcomes[outcome] += 1
        self.told.setdefault(key, set()).add(outcome)
        if outcome is Outcome.NOT_RUN and key in self.checks:
            self.violations.append(f"{key} was told not_run and ran")

    def answer(self, request, payload):
        """Take a whole answer."""
        key = (request.session.ident, request.seq, request.check)
        head, _, echo = payload.partition(b" ")
        service = head.split(b"/")[0].decode()
        if echo != request.payload[:4096] or (
            service != request.session.service
        ):
            self.violations.append(f"{key} got another answer: {payload[:60]}")
        if key not in self.checks:
            self.violations.append(f"{key} was answered without a run")

    def packet(self, service, payload):
        """Take a packet at a server or back at its caller."""
        if payload != service.encode() + b":packet":
            self.violations.append(f"{service} got packet {payload}")

    def feed_lost(self, feed, alive):
        """Take the news that a feed is broken."""
        if alive:
            self.violations.append(f"feed {feed.ident} lost, server alive")

    def event(self, feed, event):
        """Take an event; its payload names the flow and the number."""
        parts = event.payload.split(b"/")
        if (
            parts[0] != feed.session.service.encode()
            or int(parts[2]) != feed.ident
            or int(parts[3]) != event.seq
        ):
            self.violations.append(f"feed {feed.ident} got {event.payload}")

    def verify(self):
        assert not self.violations, self.violations
