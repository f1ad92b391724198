"""Long random test: `python -m tests.node.long_run --seed N --steps M`."""

import time

import typer

from tests.node import chaos as chaos_lib

# Each episode starts a new fleet and ends with a check of its feeds.
EPISODE_STEPS = 1000


def main(seed: int = 1, steps: int = 10_000) -> None:
    """Run random steps and stop at the first violated rule."""
    started = time.monotonic()
    done = 0
    outcomes = {}
    while done < steps:
        episode_seed = seed * 1_000_003 + done
        chaos = chaos_lib.Chaos(episode_seed)
        count = min(EPISODE_STEPS, steps - done)
        try:
            for _ in range(count):
                chaos.step()
            chaos.settle()
        except Exception:
            typer.echo(
                f"seed {seed}: failed in the episode with seed "
                f"{episode_seed}, at a simulated time of "
                f"{chaos.fleet.now_ms} ms"
            )
            raise
        done += count
        for outcome, reported in chaos.oracle.outcomes.items():
            outcomes[outcome] = outcomes.get(outcome, 0) + reported
    counts = ", ".join(f"{o} {n}" for o, n in sorted(outcomes.items()))
    typer.echo(
        f"seed {seed}: {done} steps, no rule violated, "
        f"{time.monotonic() - started:.0f} s; outcomes: {counts}"
    )


if __name__ == "__main__":
    typer.run(main)
