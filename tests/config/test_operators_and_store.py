import asyncio
import random

import pytest

from cyclamenridge.adapters import etcd
import cyclamenridge.clock as clock_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import operator as operator_lib
import cyclamenridge.errors as errors
from tests.config import test_operator
from tests.standins import platform as platform_lib

OPERATOR_COUNT = 3
FILES_PER_OPERATOR = 4


async def apply_files(platform, number, rng):
    """Apply files one after the other; return the reported results."""
    client = etcd.EtcdStore((platform.url,), call_timeout_ms=200)
    operator = operator_lib.Operator(
        client, clock=clock_lib.MonotonicClock(), rng=rng, wait_ms=400
    )
    results = []
    while len(results) < FILES_PER_OPERATOR:
        file = test_operator.config_file(10 * number + len(results) + 1)
        try:
            results.append(await operator.apply(file))
        except errors.StoreError:
            assert operator.pending_apply_id is None
        await asyncio.sleep(rng.uniform(0, 0.02))
    await client.close()
    return results


async def inject_faults(platform, rng):
    """Switch faults on and off until cancelled."""
    while True:
        fault = rng.choice(
            ["lose_answers", "drop_writes", "late_writes", "delay", "outage"]
        )
        if fault == "outage":
            await platform.set_outage(True)
            await asyncio.sleep(rng.uniform(0, 0.1))
            await platform.set_outage(False)
        elif fault == "delay":
            platform.faults.delay_ms = rng.choice([0, 0, 5, 250])
        else:
            setattr(platform.faults, fault, rng.randint(1, 2))
        platform.faults.late_ms = rng.randint(0, 200)
        await asyncio.sleep(rng.uniform(0, 0.05))


@pytest.mark.parametrize("seed", range(4))
def test_reported_outcomes_are_true_through_the_gateway(seed):
    """Guards against reporting a write with a lost reply as failed (P4).

    The seed determines the faults. Their timing differs from run to run, and
    the checks hold for any timing.
    """

    async def run():
        rng = random.Random(seed)
        platform = platform_lib.Platform()
        await platform.start()
        fault_task = asyncio.create_task(inject_faults(platform, rng))
        async with asyncio.timeout(20):
            results_by_operator = await asyncio.gather(
                *(
                    apply_files(platform, number, random.Random(rng.random()))
                    for number in range(OPERATOR_COUNT)
                )
            )
        fault_task.cancel()
        await asyncio.sleep(0.25)  # late writes arrive within 200 ms
        documents = [
            document_lib.decode(logged.entry.value)
            for logged in platform.state.log
        ]
        await platform.close()
        return [
            result for results in results_by_operator for result in results
        ], documents

    results, documents = asyncio.run(run())
    previous = None
    for document in documents:
        assert document == document_lib.successor(
            previous, body=document.body, apply_id=document.apply_id
        )
        previous = document
    revisions = {
        document.apply_id: document.revision for document in documents
    }
    assert len(revisions) == len(documents)
    assert len(results) == OPERATOR_COUNT * FILES_PER_OPERATOR
    for result in results:
        if result.outcome is operator_lib.Outcome.APPLIED:
            assert revisions[result.apply_id] == result.revision
        elif result.outcome is not operator_lib.Outcome.UNKNOWN:
            assert result.apply_id not in revisions
