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


def test_a_day_tells_what_it_lost_to_which_part(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text(
        json.dumps({"site": "s", "id": "1", "cmd": "score", "days": [DAY]})
    )
    (day,) = report.read_play(path).days
    assert day.losses == pytest.approx(
        {
            "whole day": 0.024,
            "worst windows": 0.1,
            "price: machine-seconds": 0.06,
        }
    )
    assert day.rules == {"FLOW": 1}


def test_the_course_of_a_day_is_read_from_its_table_only(tmp_path):
    path = tmp_path / "day.txt"
    path.write_text(TABLE)
    assert report.read_seconds(path) == [
        report.Second(40, 0.611, 46.7, 2947.7),
        report.Second(42, 0.346, 990.6, 2022.4),
    ]


@pytest.mark.parametrize("text", ["", "{}", "[1]", '{"days": [{}]}'])
def test_a_file_that_is_no_entry_is_told_without_a_traceback(tmp_path, text):
    path = tmp_path / "entry.json"
    path.write_text(text)
    got = subprocess.run(
        [sys.executable, "-m", "benchmarks.report", str(path)],
        capture_output=True,
        text=True,
    )
    assert got.returncode == 2
    assert "no journal entry" in got.stderr
    assert "Traceback" not in got.stderr
