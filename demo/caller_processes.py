"""Caller processes of the demo and of the tests with real processes."""

import msgspec

from demo import account
from demo import deployment as deployment_lib

# Time that a process may run after the end of its load; longer than its own
# timeout for the last requests.
_EXIT_TIMEOUT_S = 25.0


class CallerProcesses:
    """Several processes of ``demo.callers`` and their reports.

    :param seconds: duration of the load
    :param feeds: feeds per service and process
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        prefix: str,
        *,
        count: int,
        seconds: float,
        feeds: int = 5,
    ) -> None:
        self._deployment = deployment
        self._seconds = seconds
        self._feeds = feeds
        self._names = [f"{prefix}-{n}" for n in range(1, count + 1)]

    def start(self) -> None:
        """Start the processes."""
        dep = self._deployment
        balancers = [f"--balancer={b.caller}" for b in dep.balancers]
        for name, customer in zip(
            self._names, deployment_lib.CUSTOMERS, strict=False
        ):
            dep.processes.start(
                name,
                "demo.callers",
                f"--name={name}",
                f"--customer={customer}",
                f"--seed={dep.seed}",
                f"--seconds={self._seconds}",
                f"--feeds={self._feeds}",
                f"--output={dep.directory / name}.json",
                *balancers,
            )

    def reports(self) -> list[account.CallerReport]:
        """Wait until the processes have exited and return their reports."""
        dep = self._deployment
        reports = []
        for name in self._names:
            exit_code = dep.processes.wait(
                name, self._seconds + _EXIT_TIMEOUT_S
            )
            if exit_code:
                raise RuntimeError(
                    f"{name} exited with code {exit_code}: "
                    f"{dep.processes.output(name)[-800:]}"
                )
            data = (dep.directory / f"{name}.json").read_bytes()
            reports.append(
                msgspec.json.decode(data, type=account.CallerReport)
            )
        return reports

    def ran(self, name: str) -> bool:
        """Return whether one of these processes sent the request."""
        return name.split("/")[2] in self._names
