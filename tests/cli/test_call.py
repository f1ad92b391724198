import pytest
from typer import testing

from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import session as session_lib
import cyclamenridge.run as run

ITEMS = (
    outcomes.FeedBroken(outcomes.Reason.SERVER_LOST),
    outcomes.FeedEvent(1, b"a"),
    outcomes.FeedBroken(outcomes.Reason.SERVER_LOST),
    outcomes.FeedEvent(1, b"b"),
    outcomes.FeedEvent(2, b"c"),
)


class Feed:
    """A feed that ends after its items, which a real one never does."""

    async def __aiter__(self):
        for item in ITEMS:
            yield item

    async def close(self):
        pass


class Client:
    def __init__(self, balancers):
        pass

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        pass


class Session:
    def __init__(self, client, service, customer):
        pass

    async def subscribe(self, kind):
        return Feed()

    async def close(self):
        pass


@pytest.mark.parametrize(
    ("limit", "printed", "broken"), [(0, 3, 2), (1, 1, 1), (2, 2, 2)]
)
def test_only_events_count_towards_the_limit(
    monkeypatch, limit, printed, broken
):
    """Guards against a subscription without a limit that ends when the
    first item says that the feed was broken.
    """
    monkeypatch.setattr(client_lib, "Client", Client)
    monkeypatch.setattr(session_lib, "Session", Session)
    result = testing.CliRunner().invoke(
        run.app,
        [
            *("call", "--balancer", "127.0.0.1:7000", "--service", "counter"),
            *("--customer", "c", "--kind", "door", "--feed"),
            *("--events", str(limit)),
        ],
    )
    assert result.exit_code == 0, result.output
    assert len(result.stdout.splitlines()) == printed
    assert len(result.stderr.splitlines()) == broken
