"""Caller processes of the demo and of the tests with real processes."""

import msgspec

from demo import account
from demo import deployment as deployment_lib

_END_S = 25.0


class CallerProcesses:
    """Several processes of ``demo.callers`` and their reports."""

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
        """Wait for the end of the processes and return their reports."""
        dep = self._deployment
        reports = []
        for name in self._names:
            code = dep.processes.wait(name, self._seconds + _END_S)
            if code:
                raise RuntimeError(
                    f"{name} ended with {code}: "
                    f"{dep.processes.log(name)[-800:]}"
                )
            data = (dep.directory / f"{name}.json").read_bytes()
            reports.append(
                msgspec.json.decode(data, type=account.CallerReport)
            )
        return reports

    def ran(self, name: str) -> bool:
        """Tell whether a request is one of these processes."""
        return name.split("/")[2] in self._names
