"""Metrics and dump of evacuations."""

import json

from cyclamenridge import clock as clock_lib
from cyclamenridge import flow_reports
from tests.flow import builders
from tests.flow import test_peers


class _Log:
    lines_left_out = 0


def make_pages(*entries):
    node = test_peers.Node(1, *entries)
    pages = flow_reports.MonitoringPages(
        node.core, node.peers, _Log(), clock_lib.ManualClock(1000)
    )
    return node.core, pages


def metrics(pages):
    lines = pages.page("/metrics").body.decode().splitlines()
    return dict(
        line.rsplit(" ", 1) for line in lines if not line.startswith("#")
    )


def set_order(core, domain, revision):
    core.directory.evacuations.order(
        400, domain, builders.at(revision, 2), source="store"
    )


def test_metrics_count_orders_and_flows_by_domain():
    """An operator has to see that a domain gets no flows."""
    core, pages = make_pages(
        builders.server_entry(1),
        builders.server_entry(2, failure_domain='s"y\\d'),
    )
    set_order(core, "bne", 40)
    set_order(core, "mel", 41)
    core.directory.evacuations.withdraw(
        500, "mel", builders.at(42, 2), source="store"
    )
    for number in range(3):
        builders.Flow(core, client_port=number).syn(0)
    values = metrics(pages)
    name = "cyclamenridge_flows_opened_by_domain_total"
    assert values[name + '{failure_domain="s\\"y\\\\d"}'] == "3"
    assert name + '{failure_domain="bne"}' not in values
    assert values["cyclamenridge_domains_evacuated"] == "1"
    assert values["cyclamenridge_evacuation_changes_total"] == "3"


def test_the_dump_shows_orders_and_what_is_left_in_the_domain():
    """It leads from a domain that is not empty to the cause."""
    core, pages = make_pages(builders.server_entry(1))
    builders.Flow(core).open(0)
    set_order(core, "bne", 40)
    dump = json.loads(pages.page("/dump").body)
    assert dump["evacuations"] == {
        "bne": {
            "in_force": True,
            "epoch": 2,
            "revision": 40,
            "changed_ms_ago": 600,
            "held": False,
            "known_domain": True,
            "servers": 1,
            "flows": 1,
            "waiting": 0,
            "waiting_elsewhere": 0.0,
            "flows_opened": 1,
        }
    }
    assert dump["servers"]["i-00000001"]["accepts_flows"] is False
