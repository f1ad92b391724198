"""Flow table of the backend server model, with epochs and events."""

import collections
import dataclasses

from cyclamenridge.wire import backend

MAX_BUFFERED_EVENTS = 1024

AttachError = backend.AttachError


@dataclasses.dataclass
class Flow:
    """A flow of the server.

    :param epoch: highest epoch of an attach; lower ones are refused
    :param balancer: balancer that attached last
    :param conn: connection that receives the events; None if it was closed
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
    """All flows of a server.

    :ivar detached: ids of the flows that a balancer ended
    """

    def __init__(self, server_name: str) -> None:
        self.flows: dict[int, Flow] = {}
        self.detached: list[int] = []
        self._server_name = server_name

    def attach(
        self,
        attach: backend.Attach,
        *,
        conn: int,
        balancer: str,
        first_event_ms: int,
        max_flows: int,
        draining: bool,
    ) -> AttachError | None:
        """Bind a flow to a connection, or return the error.

        A new flow is created only if the request asks for it. An existing
        flow is bound again by a higher epoch, or by the same epoch of the
        same balancer.
        """
        flow = self.flows.get(attach.flow_id)
        if flow is None:
            if not attach.create:
                return AttachError.UNKNOWN_FLOW
            if draining:
                return AttachError.DRAINING
            if len(self.flows) >= max_flows:
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
        """End a flow, or return the error."""
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
        """Add an event to a flow; return its connection and the event.

        Without a payload, the event carries the names of server and flow
        and its sequence number.
        """
        flow = self.flows[flow_id]
        if payload is None:
            payload = f"{self._server_name}/{flow_id}/{flow.next_seq}".encode()
        event = backend.Event(flow_id, flow.next_seq, payload)
        flow.next_seq += 1
        flow.events.append(event)
        return flow.conn, event
