import json
import subprocess
import sys

import pytest

from benchmarks import report

DAY = {
    "name": "trouble-1",
    "G": 0.75,
    "parts": [["whole day", 0.48, 0.95], ["worst windows", 0.2, 0.5]],
    "prices": [["machine-seconds", 595.7, 0.06], ["probes", 0.0, -0.0]],
    "rules": {"FLOW": 1},
}
TABLE = """\
from second          asked  in aim   late refused failed  worth   p50 ms   p99 ms
40                     435     251     51       4    129      0  0.611     46.7   2947.7
42                     418      51    304      46     17      0  0.346    990.6   2022.4

how tries ended: 200: 10987
44                     418      51    304      46     17      0  0.346    990.6   2022.4
"""  # noqa: E501


def test_losses_are_computed_by_part_and_price(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text(
        json.dumps({"site": "s", "id": "1", "cmd": "score", "days": [DAY]})
    )
    (day,) = report.read_journal_entry(path).days
    assert day.losses == pytest.approx(
        {
            "whole day": 0.024,
            "worst windows": 0.1,
            "price: machine-seconds": 0.06,
        }
    )
    assert day.violations == {"FLOW": 1}


def test_time_series_ignores_lines_after_the_table(tmp_path):
    path = tmp_path / "day.txt"
    path.write_text(TABLE)
    assert report.read_time_series(path) == [
        report.TimeSample(40, 0.611, 46.7, 2947.7),
        report.TimeSample(42, 0.346, 990.6, 2022.4),
    ]


@pytest.mark.parametrize("text", ["", "{}", "[1]", '{"days": [{}]}'])
def test_invalid_journal_entry_is_reported_without_a_traceback(tmp_path, text):
    path = tmp_path / "entry.json"
    path.write_text(text)
    got = subprocess.run(
        [sys.executable, "-m", "benchmarks.report", str(path)],
        capture_output=True,
        text=True,
    )
    assert got.returncode == 2
    assert "not a journal entry" in got.stderr
    assert "Traceback" not in got.stderr
