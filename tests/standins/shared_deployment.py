"""Deployment of real processes, shared by the scenarios of a feature."""

import pathlib
import tempfile

import msgspec

from demo import account
from demo import caller_processes
from demo import deployment as deployment_lib


class SharedDeployment:
    """Starts the processes when a scenario first needs them.

    :ivar faults: balancers that the scenario killed or paused
    :ivar stop_codes: exit codes of the balancers that the scenario stopped
    :ivar callers: caller processes of the scenario, None without any
    """

    def __init__(self):
        self.faults = []
        self.stop_codes = []
        self.callers = None
        self._deployment = None
        self._directory = None
        self._start_count = 0

    def running_deployment(self):
        """Return the deployment after starting what does not run."""
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

    def start_callers(self, seconds):
        """Start the caller processes of a scenario, with empty records."""
        self._start_count += 1
        self.faults = []
        self.stop_codes = []
        self.callers = caller_processes.CallerProcesses(
            self.running_deployment(),
            f"caller-{self._start_count}",
            count=2,
            seconds=seconds,
            feeds=3,
        )
        self.callers.start()

    def wait_for_exit(self, name, timeout_s):
        """Return the exit code of a stopped process; add it to the report."""
        code = self._deployment.processes.wait(name, timeout_s)
        self.stop_codes.append(code)
        return code

    def run_report(self):
        """Return the report on the requests and feeds of the callers.

        The servers' records also hold runs of earlier scenarios, which are
        left out.
        """
        reports = self.callers.reports()
        dep = self._deployment
        servers = [
            msgspec.structs.replace(
                server,
                runs=[
                    run
                    for run in server.runs
                    if self.callers.ran(run.payload.split(b" ")[0].decode())
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
        """Stop all processes and delete their files."""
        if self._deployment is not None:
            self._deployment.processes.stop_all(timeout_s=0.5)
            self._directory.cleanup()
