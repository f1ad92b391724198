import json
import os
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

import behave
from typer import testing

from cyclamenridge import run

ROOT = pathlib.Path(__file__).resolve().parents[3]
TIMEOUT_S = 20

# One store process serves all scenarios; each starts with it emptied.
_shared_store = []


class StoreProcess:
    """The stand-in of the platform, run in a separate process."""

    def __init__(self):
        self.process = subprocess.Popen(
            [
                *(sys.executable, "-m", "tests.standins.platform"),
                *("--listen", "127.0.0.1:0"),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.url, self.control_url = self.process.stdout.readline().split()

    def stop(self):
        self.process.terminate()
        self.process.wait(TIMEOUT_S)
        self.process.stdout.close()

    def control(self, action, **values):
        request = urllib.request.Request(
            f"{self.control_url}/{action}", json.dumps(values).encode()
        )
        urllib.request.urlopen(request, timeout=TIMEOUT_S).close()

    def writes(self):
        url = f"{self.control_url}/stats"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as answer:
            return json.load(answer)["calls"].get("/v3/kv/txn", 0)


def scenario_directory(context):
    if not hasattr(context, "scenario_directory"):
        temporary_directory = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary_directory.cleanup)
        context.scenario_directory = pathlib.Path(temporary_directory.name)
    return context.scenario_directory


def run_in_process(context, command):
    """Run a command in this process, which is faster than starting one."""
    os.chdir(scenario_directory(context))
    try:
        environment = {}
        if hasattr(context, "store"):
            environment["CYCLAMENRIDGE_STORE"] = context.store.url
        completed = testing.CliRunner().invoke(
            run.app, shlex.split(command), env=environment
        )
    finally:
        os.chdir(ROOT)
    if completed.exception and not isinstance(completed.exception, SystemExit):
        raise completed.exception
    return subprocess.CompletedProcess(
        command, completed.exit_code, completed.stdout, completed.stderr
    )


@behave.given("an empty store")
def empty_store(context):
    if not _shared_store:
        _shared_store.append(StoreProcess())
        context.add_cleanup(_shared_store[0].stop, layer="testrun")
    context.store = _shared_store[0]
    context.store.control("reset")
    context.writes_before = context.store.writes()


@behave.given('the file "{name}" made from the Bellbird example')
def make_file_from_example(context, name):
    text = (ROOT / "examples" / "bellbird.yaml").read_text()
    for row in context.table or ():
        assert row["old"] in text
        text = text.replace(row["old"], row["new"], 1)
    (scenario_directory(context) / name).write_text(text)


@behave.given("the Bellbird example is applied")
def apply_example(context):
    path = ROOT / "examples" / "bellbird.yaml"
    assert run_in_process(context, f"config apply {path}").returncode == 0


@behave.given(
    'the output is saved as "{name}" with "{old}" changed to "{new}"'
)
def save_output(context, name, old, new):
    text = context.result.stdout
    assert old in text
    (scenario_directory(context) / name).write_text(text.replace(old, new, 1))


@behave.given("the store has the fault {name} {value:d}")
def set_fault(context, name, value):
    context.store.control("faults", **{name: value})


@behave.when("an outage begins")
def begin_outage(context):
    context.store.control("faults", outage=True)


@behave.when("the outage ends")
def end_outage(context):
    context.store.control("faults", outage=False)


@behave.when('the operator runs "{command}"')
def run_operator(context, command):
    context.result = run_in_process(context, command)


@behave.when('another operator runs "{command}"')
def run_other_operator(context, command):
    assert run_in_process(context, command).returncode == 0


@behave.when('the operator runs "{command}" with the reported apply id')
def run_with_apply_id(context, command):
    apply_id = json.loads(context.result.stdout)["apply_id"]
    context.result = run_in_process(context, f"{command} {apply_id}")


@behave.when("the operator runs the command that the error names")
def run_named_command(context):
    if not hasattr(context, "named_command"):
        _, _, suffix = context.result.stderr.partition("cyclamenridge config")
        context.named_command = f"config{suffix}".strip()
    context.result = run_in_process(context, context.named_command)


@behave.when('the operator interrupts "{command}" after a write')
def interrupt_after_write(context, command):
    process = subprocess.Popen(
        [sys.executable, "-m", "cyclamenridge", *shlex.split(command)],
        cwd=scenario_directory(context),
        env=os.environ
        | {
            "CYCLAMENRIDGE_STORE": context.store.url,
            "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    deadline_s = time.monotonic() + TIMEOUT_S
    while context.store.writes() == context.writes_before:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    process.send_signal(signal.SIGINT)
    stdout, stderr = process.communicate(timeout=TIMEOUT_S)
    context.result = subprocess.CompletedProcess(
        command, process.returncode, stdout, stderr
    )


@behave.then("the store had {count:d} write")
@behave.then("the store had {count:d} writes")
def check_writes(context, count):
    assert context.store.writes() - context.writes_before == count


@behave.then('the error contains "{text}"')
def check_error(context, text):
    assert text in context.result.stderr, context.result


@behave.then("the error lines are")
def check_error_lines(context):
    expected = [row["line"] for row in context.table]
    assert context.result.stderr.splitlines() == expected, context.result


@behave.then("the error has 1 line")
def check_error_is_one_line(context):
    assert len(context.result.stderr.splitlines()) == 1, context.result


@behave.then("the output has {count:d} lines")
def check_line_count(context, count):
    assert len(context.result.stdout.splitlines()) == count, context.result


@behave.then('the JSON output has "{path}" {value}')
def check_json(context, path, value):
    found = json.loads(context.result.stdout)
    for part in path.split("."):
        found = found[int(part) if part.isdigit() else part]
    assert found == json.loads(value), context.result
