"""Every decision of milletsill: what leaves when, for which node, and what is given up.

A host makes one `Scheduler` per gateway; `milletsill.interface` has what each side
calls. docs/design.md has the reasons.
"""

from milletsill.scheduler.scheduler import Scheduler

__all__ = ["Scheduler"]
