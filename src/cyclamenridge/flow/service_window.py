"""Limit on the requests of a service that one balancer has in progress."""

import collections

import msgspec

from cyclamenridge.flow import waiting

# Requests in progress for each slot of a service, at all balancers together.
# Fewer leave slots idle between two requests. More wait at the servers, which
# refuse requests above five a slot.
MIN_REQUESTS_PER_SLOT = 1.2
INITIAL_REQUESTS_PER_SLOT = 1.5
MAX_REQUESTS_PER_SLOT = 3.5
# Aim for the time at the server and on the network, as a part of the target
# latency. The limit for each slot shrinks above it and grows below it.
ANSWER_TIME_PART = 0.6
LIMIT_DECREASE_FACTOR = 0.85
LIMIT_INCREASE_FACTOR = 1.03
# Bound on the steps of the increase that are taken at once.
MAX_INCREASE_STEPS = 5.0
# A burst reaches all balancers before their beacons tell of it. At first the
# window is at most this many times the even part of the slots. It grows by the
# second factor at each refresh while it is full and its share allows more.
INITIAL_WINDOW_FACTOR = 1.5
WINDOW_GROWTH_FACTOR = 1.15
# Part of the answers that servers refuse. Above the first one the limit for
# each slot shrinks; it only grows below the second one.
MAX_REFUSED_PART = 0.1
TOLERATED_REFUSED_PART = 0.02
REFRESH_INTERVAL_MS = 100
# Minimum interval of recounts of a window that is full.
RECOUNT_INTERVAL_MS = 10
# Weight of a new value in the mean demand of this balancer and of its peers.
DEMAND_SMOOTHING = 0.5
# Weight of a new sample in the mean latency.
LATENCY_SMOOTHING = 0.1
# A request is not counted any longer after this many times the mean latency:
# its answer may be acknowledged through another balancer.
OVERDUE_FACTOR = 4
# Above this part of flows that other balancers opened, the count of requests
# in progress proves nothing: the packets of each flow are spread over them.
MAX_FOREIGN_PART = 0.25
INITIAL_FOREIGN_PART = 0.5
# Weight of a flow that another balancer opened, and of one opened here.
FOREIGN_FLOW_WEIGHT = 0.2
OWN_FLOW_WEIGHT = 0.1
# Mean latencies before the first answer.
INITIAL_HANDSHAKE_MS = 5.0
INITIAL_ANSWER_MS = 50.0
MIN_OVERDUE_MS = 20
# Clients acknowledge an answer of a single packet this much later.
ACK_DELAY_MS = 40


class Answer(msgspec.Struct, frozen=True, gc=False):
    """How a server ended a request or a handshake.

    :param is_refusal: whether it refused the request
    :param is_single_packet: whether the client acknowledged a single packet,
        after ``ACK_DELAY_MS``
    """

    is_refusal: bool = False
    is_single_packet: bool = False

    def elapsed_ms(self, acknowledged_ms: int) -> int:
        """Return the time to the answer.

        :param acknowledged_ms: time to the acknowledgement of the client
        """
        if self.is_single_packet:
            return max(0, acknowledged_ms - ACK_DELAY_MS)
        return acknowledged_ms


class Started:
    """A SYN or request that was sent to a server.

    :ivar is_syn: whether the handshake ends it, not an answer
    """

    __slots__ = ("aim_ms", "is_ended", "is_syn", "server", "started_ms")

    def __init__(
        self, now_ms: int, *, server: str, is_syn: bool, aim_ms: int
    ) -> None:
        self.started_ms = now_ms
        self.server = server
        self.is_syn = is_syn
        self.aim_ms = aim_ms
        self.is_ended = False


class _MeanLatency:
    """Moving average of the time between start and end."""

    __slots__ = ("mean_ms",)

    def __init__(self, initial_ms: float) -> None:
        self.mean_ms = initial_ms

    @property
    def overdue_ms(self) -> float:
        return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.mean_ms)

    def record(self, value_ms: int) -> None:
        bounded_ms = min(value_ms, self.overdue_ms)
        self.mean_ms += LATENCY_SMOOTHING * (bounded_ms - self.mean_ms)


class ServiceWindow:
    """Requests of a service that this balancer may have in progress.

    :ivar limit: upper bound of ``in_progress``
    :ivar per_slot: requests for each slot of the service, at all balancers
    :ivar foreign_part: part of the flows that other balancers opened
    :ivar late_open_part: part of the requests on open flows that waited until
        they were late, recent ones counting more
    """

    def __init__(self) -> None:
        self.in_progress = 0
        self.limit = 0.0
        self.per_slot = INITIAL_REQUESTS_PER_SLOT
        self.queue = waiting.WaitingQueue()
        self.foreign_part = INITIAL_FOREIGN_PART
        self.late_open_part = 0.0
        self._own_demand = 0.0
        self._peer_demand = 0.0
        self._refreshed_ms: int | None = None
        self._was_full = False
        self._counted_ms = 0
        self._started: list[Started] = []
        self._by_server: collections.Counter[str] = collections.Counter()
        # Times at which answers of a single packet were acknowledged.
        self._delayed_acks: collections.deque[int] = collections.deque()
        self._closed: frozenset[str] = frozenset()
        # Mean answer time as a part of the target latency.
        self._answer_part = 0.0
        # Refused requests as a part of those that were answered or refused.
        self._refused_part = 0.0
        self._handshakes = _MeanLatency(INITIAL_HANDSHAKE_MS)
        self._answers = _MeanLatency(INITIAL_ANSWER_MS)

    def needs_refresh(self, now_ms: int) -> bool:
        """Return whether the limit and the count have to be updated."""
        return (
            self._refreshed_ms is None
            or now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS
        )

    def servers(self) -> list[str]:
        """Return the names of the servers with requests in progress."""
        return [name for name, count in self._by_server.items() if count > 0]

    @property
    def demand(self) -> int:
        """Number of requests in progress and waiting."""
        return self.in_progress + len(self.queue)

    @property
    def handshake_ms(self) -> float:
        """Mean time from a SYN to the completed handshake."""
        return self._handshakes.mean_ms

    @property
    def start_interval_ms(self) -> float:
        """Mean time between two starts while the window is full."""
        return self._answers.mean_ms / max(1.0, self.limit)

    def refresh(
        self,
        now_ms: int,
        *,
        slots: int,
        peer_demand: float | None,
        balancers: int,
        closed: frozenset[str] = frozenset(),
    ) -> None:
        """Update the limit, and drop overdue requests from the count.

        Balancers share the slots in proportion to their demand. Each may
        always use its even part, also when it cannot receive beacons.

        :param slots: slots of the service's servers
        :param peer_demand: requests in progress and waiting at other
            balancers, None if no beacon tells of them
        :param closed: servers that accept no new flows; requests there are
            not counted
        """
        self._closed = closed
        self._refreshed_ms = now_ms
        self._drop_overdue(now_ms)
        self._adapt_to_answers()
        total = self.per_slot * slots
        even_part = total / balancers
        self._own_demand += DEMAND_SMOOTHING * (self.demand - self._own_demand)
        if peer_demand is None:
            share = even_part
        else:
            self._peer_demand += DEMAND_SMOOTHING * (
                peer_demand - self._peer_demand
            )
            share = self._share(total)
        limit = INITIAL_WINDOW_FACTOR * even_part
        if self._was_full:
            limit = max(limit, WINDOW_GROWTH_FACTOR * self.limit)
        self._was_full = False
        self.limit = max(1.0, even_part, min(limit, share))

    def _share(self, total: float) -> float:
        """Return the part of the slots that this balancer's demand calls for.

        Slots that nobody asks for allow for a demand that is above its mean.

        :param total: requests that all balancers may have in progress
        """
        own_demand = max(self._own_demand, self.demand)
        all_demand = own_demand + self._peer_demand
        if all_demand <= 0:
            return total
        factor = total / all_demand
        if factor > 1:
            return max(own_demand * factor, total - self._peer_demand)
        return own_demand * factor

    def _adapt_to_answers(self) -> None:
        """Move the limit for each slot towards timely answers.

        It rises above its initial value only while requests have to wait and
        servers refuse none.
        """
        bound = INITIAL_REQUESTS_PER_SLOT
        if (
            self._answer_part > ANSWER_TIME_PART
            or self._refused_part > MAX_REFUSED_PART
        ):
            self.per_slot = max(
                MIN_REQUESTS_PER_SLOT, self.per_slot * LIMIT_DECREASE_FACTOR
            )
        elif self.per_slot < bound or (
            self._was_full and self._refused_part < TOLERATED_REFUSED_PART
        ):
            # Answers far below their target leave time for longer queues.
            slack = ANSWER_TIME_PART / max(self._answer_part, 0.01)
            steps = min(max(slack, 1.0), MAX_INCREASE_STEPS)
            self.per_slot = min(
                MAX_REQUESTS_PER_SLOT,
                self.per_slot * LIMIT_INCREASE_FACTOR**steps,
            )
        else:
            self.per_slot = max(bound, self.per_slot / LIMIT_INCREASE_FACTOR)

    def is_full(self, now_ms: int, limit: float) -> bool:
        """Return whether servers work on as many requests as ``limit``."""
        if (
            self._at_servers(now_ms) >= limit
            and now_ms - self._counted_ms >= RECOUNT_INTERVAL_MS
        ):
            self._drop_overdue(now_ms)
        is_full = self._at_servers(now_ms) >= limit
        self._was_full |= is_full
        return is_full

    def _at_servers(self, now_ms: int) -> int:
        """Return the requests in progress less those that were answered.

        As many answers wait for their acknowledgement now as were
        acknowledged within the last delay.
        """
        self._drop_old_acks(now_ms)
        return self.in_progress - min(
            len(self._delayed_acks), self.in_progress // 2
        )

    def _drop_old_acks(self, now_ms: int) -> None:
        acks = self._delayed_acks
        while acks and now_ms - acks[0] > ACK_DELAY_MS:
            acks.popleft()

    def in_progress_at(self, now_ms: int, server: str) -> int:
        """Return the requests that a server works on, overdue ones left out.

        After a restart or a change of the routers, answers of many requests
        pass other balancers.
        """
        if (
            self._by_server[server]
            and now_ms - self._counted_ms >= RECOUNT_INTERVAL_MS
        ):
            self._drop_overdue(now_ms)
        return self._by_server[server]

    def _drop_overdue(self, now_ms: int) -> None:
        self._counted_ms = now_ms
        remaining = []
        for item in self._started:
            if item.is_ended:
                continue
            latency = self._handshakes if item.is_syn else self._answers
            if now_ms - item.started_ms < latency.overdue_ms:
                remaining.append(item)
        self._started = remaining
        self.in_progress = sum(
            item.server not in self._closed for item in remaining
        )
        self._by_server = collections.Counter(
            item.server for item in remaining
        )

    def record_flow(self, *, is_foreign: bool) -> None:
        """Record the first packet of a flow at this balancer.

        :param is_foreign: whether another balancer opened the flow
        """
        if is_foreign:
            self.foreign_part += FOREIGN_FLOW_WEIGHT * (1 - self.foreign_part)
        else:
            self.foreign_part -= OWN_FLOW_WEIGHT * self.foreign_part

    def record_start(
        self, now_ms: int, *, server: str, is_syn: bool, aim_ms: int
    ) -> Started:
        """Count a request that is sent to a server.

        :param server: name of the server
        :param aim_ms: target latency of its answer
        """
        item = Started(now_ms, server=server, is_syn=is_syn, aim_ms=aim_ms)
        self._started.append(item)
        self._by_server[server] += 1
        self.in_progress += server not in self._closed
        return item

    def record_end(
        self,
        now_ms: int,
        item: Started,
        *,
        answer: Answer | None,
    ) -> None:
        """Count the end of a request.

        :param answer: what the server answered, None if it is not known
        """
        item.is_ended = True
        if item.server not in self._closed:
            self.in_progress = max(0, self.in_progress - 1)
        if self._by_server[item.server] > 0:
            self._by_server[item.server] -= 1
        if answer is None:
            return
        elapsed_ms = answer.elapsed_ms(now_ms - item.started_ms)
        if item.is_syn:
            self._handshakes.record(elapsed_ms)
            return
        if answer.is_single_packet:
            self._drop_old_acks(now_ms)
            self._delayed_acks.append(now_ms)
        self._refused_part += LATENCY_SMOOTHING * (
            answer.is_refusal - self._refused_part
        )
        if not answer.is_refusal:
            self._answers.record(elapsed_ms)
            self._answer_part += LATENCY_SMOOTHING * (
                min(elapsed_ms / item.aim_ms, 2.0) - self._answer_part
            )
