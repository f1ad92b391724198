"""A deployment of real processes that the scenarios of a feature share."""

import pathlib
import tempfile

import msgspec

from demo import account
from demo import caller_processes
from demo import deployment as deployment_lib


class LiveDeployment:
    """Starts a deployment when it is first needed and ends it."""

    def __init__(self):
        self.faults = []
        self.stop_codes = []
        self.work = None
        self._deployment = None
        self._directory = None
        self._number = 0

    def deployment(self):
        """Return the deployment; start the processes that do not run."""
        if self._deployment is None:
            self._directory = tempfile.TemporaryDirectory(
                prefix="cyclamenridge-"
            )
            self._deployment = deployment_lib.Deployment(
                pathlib.Path(self._directory.name),
                servers={"counter": 3, "workshop": 3},
            )
            self._deployment.start_platform()
            self._deployment.start_servers()
            self._deployment.start_balancers()
            self._deployment.apply()
        dep = self._deployment
        for balancer in dep.balancers:
            if not dep.processes.running(balancer.name):
                dep.start_balancer(balancer)
        dep.wait_serving()
        return dep

    def start_work(self, seconds):
        """Start callers of their own for a scenario."""
        self._number += 1
        self.faults = []
        self.stop_codes = []
        self.work = caller_processes.CallerProcesses(
            self.deployment(),
            f"caller-{self._number}",
            count=2,
            seconds=seconds,
            feeds=3,
        )
        self.work.start()

    def account(self):
        """Return the account of the scenario's callers."""
        reports = self.work.reports()
        dep = self._deployment
        servers = [
            msgspec.structs.replace(
                server,
                runs=[
                    run
                    for run in server.runs
                    if self.work.ran(run.payload.split(b" ")[0].decode())
                ],
            )
            for server in dep.server_records()
        ]
        return account.check(
            reports,
            servers,
            faults=self.faults,
            stop_codes=self.stop_codes,
            codec=dep.codec,
            seed=dep.seed,
            seconds=0,
        )

    def stop(self):
        """End all processes."""
        if self._deployment is not None:
            self._deployment.processes.stop_all(timeout_s=0.5)
            self._directory.cleanup()
