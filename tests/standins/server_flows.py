"""Flows of the backend server model, with their epochs and events."""

import collections
import dataclasses

from cyclamenridge.wire import backend

MAX_BUFFERED_EVENTS = 1024

AttachError = backend.AttachError


@dataclasses.dataclass
class Flow:
    """A flow that the server holds.

    :param conn: connection that gets its events; None while there is none
    :param events: events that no attach has acknowledged
    """

    flow_id: int
    epoch: int
    balancer: str
    kind: str
    customer: str
    conn: int | None
    next_seq: int
    next_event_ms: int
    events: collections.deque[backend.Event]


class FlowTable:
    """All flows of a server."""

    def __init__(self, name: str) -> None:
        self.flows: dict[int, Flow] = {}
        self.detached: list[int] = []
        self._name = name

    def attach(
        self,
        attach: backend.Attach,
        *,
        conn: int,
        balancer: str,
        first_event_ms: int,
        limit: int,
        draining: bool,
    ) -> AttachError | None:
        """Bind a flow to a connection, or return why not."""
        flow = self.flows.get(attach.flow_id)
        if flow is None:
            if not attach.create:
                return AttachError.UNKNOWN_FLOW
            if draining:
                return AttachError.DRAINING
            if len(self.flows) >= limit:
                return AttachError.FULL
            flow = self.flows[attach.flow_id] = Flow(
                flow_id=attach.flow_id,
                epoch=attach.epoch,
                balancer=balancer,
                kind=attach.kind,
                customer=attach.customer,
                conn=conn,
                next_seq=attach.last_seq + 1,
                next_event_ms=first_event_ms,
                events=collections.deque(maxlen=MAX_BUFFERED_EVENTS),
            )
        elif attach.epoch < flow.epoch or (
            attach.epoch == flow.epoch and balancer != flow.balancer
        ):
            return AttachError.STALE_EPOCH
        flow.epoch = attach.epoch
        flow.balancer = balancer
        flow.conn = conn
        while flow.events and flow.events[0].seq <= attach.last_seq:
            flow.events.popleft()
        return None

    def detach(self, detach: backend.Detach) -> AttachError | None:
        """End a flow, or return why not."""
        flow = self.flows.get(detach.flow_id)
        if flow is None:
            return AttachError.UNKNOWN_FLOW
        if detach.epoch < flow.epoch:
            return AttachError.STALE_EPOCH
        del self.flows[detach.flow_id]
        self.detached.append(detach.flow_id)
        return None

    def emit(
        self, flow_id: int, payload: bytes | None
    ) -> tuple[int | None, backend.Event]:
        """Add an event to a flow; return its connection and the event."""
        flow = self.flows[flow_id]
        if payload is None:
            payload = f"{self._name}/{flow_id}/{flow.next_seq}".encode()
        event = backend.Event(flow_id, flow.next_seq, payload)
        flow.next_seq += 1
        flow.events.append(event)
        return flow.conn, event
