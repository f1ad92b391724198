import random
import signal
import socket
import subprocess
import time
import urllib.request

import behave

import cyclamenridge.clock as clock_lib
from demo import account
from demo import deployment as deployment_lib

CLOCK = clock_lib.MonotonicClock()
# Time from the start of the caller processes to their first requests.
CALLER_START_S = 1.0


def balancer(context, number):
    return context.shared_deployment.running_deployment().balancers[number - 1]


def wait_after_caller_start(seconds):
    time.sleep(CALLER_START_S + seconds)


@behave.given("a deployment")
def start(context):
    context.dep = context.shared_deployment.running_deployment()


@behave.given("a deployment with callers that run for {seconds:g} s")
def start_with_callers(context, seconds):
    start(context)
    context.shared_deployment.start_callers(seconds)


@behave.when("balancer {number:d} gets SIGTERM after {seconds:g} s")
def stop_balancer(context, number, seconds):
    wait_after_caller_start(seconds)
    name = context.dep.balancers[number - 1].name
    context.dep.signal(name, signal.SIGTERM)


@behave.then("the exit code of balancer {number:d} is {code:d}")
def check_exit_code(context, number, code):
    name = context.dep.balancers[number - 1].name
    assert context.shared_deployment.wait_for_exit(name, 15) == code


@behave.when("balancer {number:d} is killed after {seconds:g} s")
def kill_balancer(context, number, seconds):
    wait_after_caller_start(seconds)
    killed = context.dep.balancers[number - 1]
    now_ms = CLOCK.now_ms()
    context.dep.signal(killed.name, signal.SIGKILL)
    context.shared_deployment.faults.append(
        account.Fault(str(killed.peer), now_ms, now_ms)
    )


@behave.when("balancer {number:d} is paused after {seconds:g} s")
def pause_balancer(context, number, seconds):
    wait_after_caller_start(seconds)
    paused = context.dep.balancers[number - 1]
    context.paused_ms = CLOCK.now_ms()
    context.dep.signal(paused.name, signal.SIGSTOP)


@behave.when("balancer {number:d} is resumed {seconds:g} s after its pause")
def resume_balancer(context, number, seconds):
    paused = context.dep.balancers[number - 1]
    time.sleep(
        max(0, context.paused_ms / 1000 + seconds - CLOCK.now_ms() / 1000)
    )
    context.dep.signal(paused.name, signal.SIGCONT)
    context.shared_deployment.faults.append(
        account.Fault(str(paused.peer), context.paused_ms, CLOCK.now_ms())
    )


@behave.when("a changed configuration is applied")
def apply_changed_configuration(context):
    context.dep.apply(base=1, queue_limit=500)


@behave.then(
    "revision {revision:d} is active on balancers {numbers} "
    "within {seconds:g} s"
)
def check_revision(context, revision, numbers, seconds):
    deadline_ms = CLOCK.now_ms() + seconds * 1000
    pending = {int(number) for number in numbers.split(",")}
    while pending:
        for number in sorted(pending):
            status = context.dep.status(context.dep.balancers[number - 1])
            if status is not None and status["revision"] == revision:
                pending.discard(number)
        assert not pending or CLOCK.now_ms() < deadline_ms, pending
        time.sleep(0.02)


@behave.then("the report of the run has no findings")
def check_run_report(context):
    if not hasattr(context, "run_report"):
        context.run_report = context.shared_deployment.run_report()
    assert context.run_report.ok, context.run_report
    assert context.run_report.broken_flows == 0, context.run_report


@behave.then("no request has an unknown outcome")
def check_no_unknown(context):
    context.run_report = context.shared_deployment.run_report()
    assert context.run_report.unknown == 0, context.run_report


@behave.then("balancer {number:d} is serving again")
def check_serving(context, number):
    status = context.dep.status(context.dep.balancers[number - 1])
    assert status is not None
    assert status["state"] == "serving", status


@behave.when(
    "{count:d} malformed datagrams are sent to both ports of "
    "balancer {number:d}"
)
def send_malformed(context, count, number):
    rng = random.Random(4)
    target = context.dep.balancers[number - 1]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        # An address in the networks of the deployment: the peer port does
        # not reject it by source and has to parse the content.
        sock.bind(("127.0.0.11", 0))
        for index in range(count):
            data = rng.randbytes(rng.choice([0, 1, 9, 60, 1400, 1500, 9000]))
            if index % 3 == 0:
                data = bytes([1 + index % 2]) + data[:1399]
            sock.sendto(data, target.caller.as_tuple())
            sock.sendto(data, target.peer.as_tuple())
            if index % 50 == 0:
                time.sleep(0.005)


@behave.then("balancer {number:d} counts them and still answers a request")
def check_malformed_datagrams(context, number):
    target = context.dep.balancers[number - 1]
    url = f"http://{target.admin}/metrics"
    with urllib.request.urlopen(url, timeout=3) as answer:
        metrics = answer.read().decode()
    for name in (
        "datagrams_malformed",
        "peer_datagrams_refused",
        "caller_datagrams_oversized",
        "peer_datagrams_oversized",
    ):
        line = f"cyclamenridge_{name}_total "
        values = [
            float(row.removeprefix(line))
            for row in metrics.splitlines()
            if row.startswith(line)
        ]
        assert values and values[0] > 10, (name, values)
    assert "cyclamenridge_internal_errors_total" not in metrics
    try:
        answer = context.dep.run_command(
            "call",
            f"--balancer={target.caller}",
            "--service=counter",
            f"--customer={deployment_lib.CUSTOMERS[0]}",
            "--kind=setting",
            "hello",
        )
    except subprocess.SubprocessError as exc:
        raise AssertionError("no answer") from exc
    assert answer.startswith("counter/counter-"), answer
    assert answer.endswith(" hello"), answer
