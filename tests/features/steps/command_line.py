import shlex
import subprocess
import sys

import behave


@behave.when('I run "{command}"')
def run_program(context, command):
    program, *arguments = shlex.split(command)
    assert program == "cyclamenridge"
    context.result = subprocess.run(
        [sys.executable, "-m", "cyclamenridge", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@behave.then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.result.returncode == code, context.result


@behave.then('the output contains "{text}"')
def check_output(context, text):
    assert text in context.result.stdout, context.result
