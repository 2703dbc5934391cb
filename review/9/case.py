import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))

from identity_site import Site
from standins import CannotRun, ask, main, statement

# What the caller may read: the groups 3 to 5. It sends these when it asks for more.
BEYOND = [
    "SELECT b.a, s.pay, s.c FROM ledger_3.bills b JOIN payroll_17.salaries s ON s.id = b.id",
    "SELECT a, b, c FROM ledger_4.bills UNION ALL SELECT name, pay, c FROM payroll_17.salaries",
    "INSERT INTO ledger_5.bills SELECT name, pay, c FROM payroll_17.salaries",
    "SELECT a, (SELECT max(pay) FROM payroll_17.salaries), c FROM ledger_3.bills",
]
WITHIN = "SELECT a, b, c FROM ledger_{}.bills"


def case(run):
    site = Site(run)
    site.start()
    token = site.token("k1", "counter-7", "--groups", "3-5")
    client = site.login("counter-7", token)
    if isinstance(client, int):
        raise CannotRun("the caller could not log in")
    for group in (3, 4, 5):
        _, text = statement("point", WITHIN.format(group))
        if not isinstance(ask(run, client, "counter-7", text), list):
            raise CannotRun("a statement within the grant was not served")
    # The grant is in force: a statement of group 17 alone is refused, with and without the trouble.
    _, text = statement("point", "SELECT name, pay, c FROM payroll_17.salaries")
    if ask(run, client, "counter-7", text) != 1142:
        raise CannotRun("the grant is not in force")
    if run.trouble:
        for text in BEYOND:
            _, text = statement("point", text)
            ask(run, client, "counter-7", text)
    return [
        f"an engine ran, for a caller that may read the groups 3 to 5: {text}"
        for _, _, _, text in site.engine.ran
        if "payroll_17" in text
    ]


main(case)
