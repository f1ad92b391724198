"""What a store that was restored from an older copy says of servers."""

import pytest

from cyclamenridge.flow import directory
from tests.flow import builders

REPORT_INTERVAL_MS = 1200
# Entries of servers that are gone are removed after three missed reports.
ENTRY_HOLD_MS = directory.REGISTRATION_TIMEOUT_MS + 3 * REPORT_INTERVAL_MS
DRAINING = directory.ServerState.DRAINING


def entry(number, revision, *, epoch=1, **changes):
    return builders.server_entry(
        number, revision=revision, epoch=epoch, **changes
    )


def make_directory(*entries):
    servers = directory.Directory(
        60_000, report_interval_ms=REPORT_INTERVAL_MS
    )
    servers.replace(0, builders.at(100, 1), entries)
    return servers


def ready(servers):
    return {s.entry.ident for s in servers.ready_servers("counter")}


def test_an_older_copy_does_not_undo_a_drain():
    """A server that had said that it leaves got new flows again."""
    servers = make_directory(entry(1, 90, state=DRAINING), entry(2, 9))
    listing = servers.replace(
        10, builders.at(20, 2), [entry(1, 8, epoch=2), entry(2, 9, epoch=2)]
    )
    assert listing.held == ["i-00000001"]
    assert ready(servers) == {2}
    assert servers.position == builders.at(20, 2)


def test_an_older_copy_does_not_undo_the_removal_of_a_drained_server():
    servers = make_directory(entry(1, 90, state=DRAINING))
    servers.remove(5, "i-00000001", builders.at(101, 1))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2)])
    assert servers.listed_servers("counter") == []


def test_an_earlier_incarnation_in_the_copy_does_not_replace_a_server():
    """Its address may belong to another service by now."""
    servers = make_directory(entry(1, 90, born_ms=7))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2, born_ms=3)])
    assert servers.get("i-00000001").entry.born_ms == 7


@pytest.mark.parametrize("state", directory.ServerState)
def test_what_is_written_after_the_restore_is_in_force_at_once(state):
    servers = make_directory(entry(1, 90, state=DRAINING))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2)])
    again = entry(1, 21, epoch=2, born_ms=2, state=state)
    assert servers.put(20, again)
    assert servers.get("i-00000001").entry == again
    assert servers.settle(20 + 10 * ENTRY_HOLD_MS) == []


def test_a_drain_that_was_lost_to_this_process_is_taken_from_the_copy():
    servers = make_directory(entry(1, 90))
    servers.replace(
        10, builders.at(20, 2), [entry(1, 8, epoch=2, state=DRAINING)]
    )
    assert ready(servers) == set()


def test_a_copy_that_is_confirmed_by_time_is_taken():
    """The store removes the entries of servers that are gone."""
    servers = make_directory(entry(1, 90, state=DRAINING))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2)])
    assert servers.settle(10 + ENTRY_HOLD_MS - 1) == []
    assert servers.settle(10 + ENTRY_HOLD_MS) == ["i-00000001"]
    assert ready(servers) == {1}


def test_a_server_that_the_copy_lacks_is_kept_until_it_registers():
    servers = make_directory(entry(1, 90), entry(2, 9))
    servers.replace(10, builders.at(20, 2), [entry(2, 9, epoch=2)])
    assert ready(servers) == {1, 2}
    assert servers.settle(10 + directory.REGISTRATION_TIMEOUT_MS - 1) == []
    servers.put(2000, entry(1, 21, epoch=2))
    assert servers.settle(10 + directory.REGISTRATION_TIMEOUT_MS) == []
    assert ready(servers) == {1, 2}


def test_a_server_that_the_copy_lacks_and_that_does_not_register_is_gone():
    servers = make_directory(entry(1, 90), entry(2, 9))
    servers.replace(10, builders.at(20, 2), [entry(2, 9, epoch=2)])
    settled_ms = 10 + directory.REGISTRATION_TIMEOUT_MS
    assert servers.settle(settled_ms) == ["i-00000001"]
    assert ready(servers) == {2}
    assert servers.get("i-00000001").removed_ms == settled_ms


def test_a_removal_after_the_restore_is_in_force_at_once():
    servers = make_directory(entry(1, 90))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2)])
    assert servers.remove(20, "i-00000001", builders.at(21, 2))
    assert ready(servers) == set()


def test_the_time_to_register_starts_anew_when_the_store_was_away_again():
    """All servers that the copy lacked would be gone after an outage."""
    core = builders.make_core()
    core.directory.put(0, entry(1, 90))
    core.directory.replace(10, builders.at(20, 2), [])
    core.record_store_failure()
    core.record_store_answer(60_000)
    assert core.directory.settle(60_000) == []
    assert ready(core.directory) == {1}


def test_the_time_starts_anew_with_a_second_restore():
    servers = make_directory(entry(1, 90))
    servers.replace(10, builders.at(20, 2), [])
    servers.replace(3000, builders.at(15, 3), [])
    assert ready(servers) == {1}
    servers.settle(3000 + directory.REGISTRATION_TIMEOUT_MS)
    assert ready(servers) == set()


def test_without_the_store_later_lists_of_peers_remove_what_stays_missing():
    """A process that is cut off from the store never settles by itself."""
    servers = make_directory(entry(1, 90))
    servers.replace(10, builders.at(20, 2), [])
    later_ms = 10 + directory.REGISTRATION_TIMEOUT_MS
    assert servers.replace(later_ms, builders.at(22, 2), []).removed
    assert ready(servers) == set()


def test_an_entry_of_the_lost_history_changes_nothing():
    servers = make_directory(entry(1, 90))
    servers.replace(10, builders.at(20, 2), [entry(1, 8, epoch=2)])
    assert not servers.put(20, entry(1, 95, state=DRAINING))
    assert not servers.remove(20, "i-00000001", builders.at(99, 1))
    assert ready(servers) == {1}


def test_a_version_that_was_written_anew_replaces_the_lost_one():
    """A change that was never confirmed may be lost with its number."""
    core = builders.make_core()
    assert core.routes.version == 4 and core.routes.epoch == 0
    again = type(core.routes)(4, {}, frozenset(), 1, epoch=2)
    assert core.configure(again)
    assert core.routes == again
    assert not core.configure(builders.CONFIG)


def test_an_older_version_of_a_later_epoch_is_not_taken():
    core = builders.make_core()
    assert not core.configure(
        type(core.routes)(3, {}, frozenset(), 1, epoch=2)
    )
