"""The planner, and the gateway's side of it: shares of quotas, lent and granted.

Quotas are the limits and reserves of volumes, and the slow-start budgets of nodes. The
safety of it, in short (docs/planner.md has the argument): each gateway owns an even
share of each quota. It may use its even share less what it has lent, plus what it was
granted; nothing else. It lends only by its own promise, until a time on its own clock,
and keeps that promise whatever it hears. The planner grants only out of loans made to
this very run of it (the epoch), and no grant ends later than the earliest that a loan
behind it can end. So the shares in use never add up to more than the whole, whatever is
lost, late, doubled or out of order, and whoever restarts: a planner that forgets grants
nothing until it is lent again, a gateway that forgets starts with the floor, below
which it never lends, until all that it may have lent before is over.

Shares are whole millionths of the whole quota. Times are whole tenths of a millisecond
of the clock of whoever decides.

- `quota_terms`: what both sides speak of, with `codec` and `plan.proto`.
- `quota_ledger`, `quota_client`, `demand_estimate`: the gateway's side;
  `planner_session` and `planner_link`: its connection to the planner.
- `quota_plan`, `quota_planner`: what the planner decides; `planner_server`,
  `operator_commands`, `planner_metrics`, `planner_process`: the program around it;
  `epoch_store`: what of it is on disk.
"""
