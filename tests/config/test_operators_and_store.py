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

OPERATORS = 3
FILES_EACH = 4


async def operate(platform, number, rng):
    """Apply files one after the other; return what was told."""
    client = etcd.EtcdStore((platform.url,), call_timeout_ms=200)
    operator = operator_lib.Operator(
        client, clock=clock_lib.MonotonicClock(), rng=rng, wait_ms=400
    )
    told = []
    while len(told) < FILES_EACH:
        file = test_operator.config_file(10 * number + len(told) + 1)
        try:
            told.append(await operator.apply(file))
        except errors.StoreError:
            assert operator.pending_apply_id is None
        await asyncio.sleep(rng.uniform(0, 0.02))
    await client.close()
    return told


async def disturb(platform, rng):
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
def test_operators_are_told_the_truth_through_the_gateway(seed):
    """Guards against a client that takes a lost write for no effect (P4).

    The seed sets the faults; their timing differs from run to run, and what
    is checked holds for any timing.
    """

    async def run():
        rng = random.Random(seed)
        platform = platform_lib.Platform()
        await platform.start()
        faults = asyncio.create_task(disturb(platform, rng))
        async with asyncio.timeout(20):
            told = await asyncio.gather(
                *(
                    operate(platform, number, random.Random(rng.random()))
                    for number in range(OPERATORS)
                )
            )
        faults.cancel()
        await asyncio.sleep(0.25)  # writes that are late by 200 ms at most
        documents = [
            document_lib.decode(logged.entry.value)
            for logged in platform.state.log
        ]
        await platform.close()
        return [result for results in told for result in results], documents

    told, documents = asyncio.run(run())
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
    assert len(told) == OPERATORS * FILES_EACH
    for result in told:
        if result.outcome is operator_lib.Outcome.APPLIED:
            assert revisions[result.apply_id] == result.revision
        elif result.outcome is not operator_lib.Outcome.UNKNOWN:
            assert result.apply_id not in revisions
