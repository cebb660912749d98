"""The quota planner and the gateway's quota client: loans and grants of quota shares.

Quotas are the limits and reserves of volumes and the slow-start budgets of nodes. Each
gateway owns an even share of each quota. It may use its even share minus what it has
lent plus what it was granted, and nothing else. The sum of the shares in use never
exceeds the whole quota, even if messages are lost, delayed, duplicated or reordered and
whichever process restarts (docs/planner.md has the proof), because:

- A gateway commits to a loan until a time on its own clock, and keeps that commitment
  whatever messages it receives.
- The planner grants only out of loans made to its current run (the epoch), and no grant
  ends later than the earliest possible end of a loan that backs it.
- A planner that lost its state grants nothing until gateways lend to it again.
- A gateway that lost its state uses only the floor, which it never lends, until every
  loan that it may have made before has ended.

Shares are integer millionths of the whole quota. Times are integer tenths of a
millisecond on the clock of the process that makes the decision.

- `quota_terms`: the types that both sides exchange, with `codec` and `plan.proto`.
- `quota_ledger`, `quota_client`, `demand_estimate`: the gateway's side;
  `planner_session` and `planner_link`: its connection to the planner.
- `quota_plan`, `quota_planner`: the planner's decisions; `planner_server`,
  `operator_commands`, `planner_metrics`, `planner_process`: the program around them;
  `epoch_store`: the state that the planner keeps on disk.
"""
