"""The scheduler: decides when each request is sent, to which node, and what is shed.

A host creates one `Scheduler` per gateway. `milletsill.interface` defines the calls
between the two, and docs/design.md gives the reasons for the design.
"""

from milletsill.scheduler.scheduler import Scheduler

__all__ = ["Scheduler"]
