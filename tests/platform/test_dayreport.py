"""Test the tables of a day's report."""

import testtools

from cicadapass_platform.dayreport import Row, groups, last_answers, prices, render

REPORT = {
    "classes": [
        {
            "name": "lookup",
            "n": 12,
            "not_owed": 2,
            "in_aim": 7,
            "late": 1,
            "refused": 1,
            "failed": 1,
            "worth": 0.71,
            "p50_ms": 90.5,
            "p99_ms": 400.0,
        }
    ],
    "prices": [["small", 3.0, 0.0001], ["calls", 2.0, 0.01], ["engines", 1.0, 0.1]],
    "unserved_by": [["429", 3, ["0.1 s  request r1"]], ["502", 1, []]],
}


class TablesTest(testtools.TestCase):
    def test_requests_that_are_not_owed_are_not_counted(self):
        """Requests beyond a limit looked like unserved ones."""
        (row,) = groups(REPORT, "classes")
        self.assertEqual("lookup", row.name)
        self.assertEqual((10, 7, 1, 1, 1), row.values[:5])

    def test_the_largest_prices_come_first(self):
        """The price to mend first stood between those that do not matter."""
        self.assertEqual(["engines", "calls"], [row.name for row in prices(REPORT)])

    def test_the_values_of_the_other_report_follow(self):
        """A row was compared with another group's of the other report."""
        rows = [Row("429", (3,)), Row("502", (1,))]
        table = render("last answer", ("",), rows, [Row("502", (4,))])
        self.assertEqual(
            ["3", "1 (4)"],
            [line.split(maxsplit=1)[1].strip() for line in table.splitlines()[1:]],
        )
        self.assertEqual(rows, last_answers(REPORT))
