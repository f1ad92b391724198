"""How long a SYN waits for a slot before it is refused."""

import random

from cyclamenridge.flow import routes
from cyclamenridge.flow import service_window
from cyclamenridge.flow import work as work_lib

# Part of the time until the latest timely start that a SYN may wait. The rest
# is for its client's other tries.
SYN_WAIT_PART = 0.4
# The same for routes that others rank below.
PREFERRED_WAIT_PART = 0.5
# Preferred SYNs whose queue is short on average wait for this part of the
# target latency: the lower rank makes room for them.
SHORT_QUEUE_WAIT_PART = 1 / 3
# A queue is short up to this many times the time that a SYN may wait.
SHORT_QUEUE_FACTOR = 1.15
# A SYN that the queue keeps from a slot for longer than it may wait is refused
# after a random part of this part of its spare time. Clients that are refused
# together come back spread, and a slot that comes free early is still used.
REFUSAL_SPREAD_PART = 0.2
# Shortest waits, and shortest range of the random wait. Less would refuse SYNs
# between two slots that come free.
MIN_SYN_WAIT_MS = 10
# After the retransmission at 200 ms, a SYN cannot be refused any more.
MAX_SYN_WAIT_MS = 150
# The queue of preferred SYNs takes this many times what the mean interval of
# starts says: other SYNs of their rank arrive meanwhile, and handshakes use
# slots too. With this factor for the lowest rank, slots stayed unused.
PREFERRED_QUEUE_FACTOR = 1.5
# Weight of a new SYN in the mean time that the queue of a route takes.
QUEUE_SMOOTHING = 0.03


class SynWait:
    """Determines the wait of SYNs from the time that their clients have.

    :ivar rng: spreads the resets
    """

    def __init__(self, work: work_lib.RouteWork) -> None:
        self.rng = random.Random(0)
        self._work = work
        # Mean time in the queue that SYNs of a route found, by route.
        self._queue_ms: dict[str, float] = {}

    def wait_ms(
        self,
        window: service_window.ServiceWindow,
        route: routes.Route,
        *,
        is_preferred: bool,
    ) -> tuple[int, bool]:
        """Return how long a SYN that arrives now may wait.

        The second value tells whether the queue in front of it is too long.

        :param is_preferred: whether another route of the service ranks lower
        """
        spare_ms = route.aim_ms - window.handshake_ms
        spare_ms -= self._work.answer_ms(route)
        part = PREFERRED_WAIT_PART if is_preferred else SYN_WAIT_PART
        wait_ms = max(MIN_SYN_WAIT_MS, part * spare_ms)
        ahead = window.queue.count_ahead(
            route, self._work.service_ms(route.name)
        )
        queue_ms = (ahead + 1) * window.start_interval_ms
        if is_preferred:
            queue_ms *= PREFERRED_QUEUE_FACTOR
        mean_ms = self._queue_ms.get(route.name, 0.0)
        mean_ms += QUEUE_SMOOTHING * (queue_ms - mean_ms)
        self._queue_ms[route.name] = mean_ms
        is_surplus = False
        if is_preferred and mean_ms <= SHORT_QUEUE_FACTOR * wait_ms:
            wait_ms = max(wait_ms, SHORT_QUEUE_WAIT_PART * route.aim_ms)
        elif queue_ms > wait_ms and self._work.is_known(route):
            is_surplus = True
            wait_ms = self.rng.uniform(
                0, max(MIN_SYN_WAIT_MS, REFUSAL_SPREAD_PART * spare_ms)
            )
        return min(round(wait_ms), MAX_SYN_WAIT_MS), is_surplus
