"""The planner, and the edge's side of it: parts of limits, reserves and cold boxes' budgets, lent and given back.

The safety of it, in short (docs/planner.md has the argument). Each edge owns an even part of each whole: its capital. An edge
may use its capital less what it has lent, plus what it was granted; nothing else. It lends only by its own promise, until a time
on its own clock, and keeps that promise whatever it hears. The planner grants only out of promises made to this very run of it
(the epoch), and no grant ends later than the earliest that a promise behind it can end. So the parts in use never add up to more
than the whole, whatever is lost, late, doubled or out of order, and whoever restarts: a planner that forgets grants nothing until
it is lent again, an edge that forgets starts with the floor, below which no promise goes, until all that it may have promised is
over.

Parts are whole millionths of the whole. Times are whole tenths of a millisecond of the clock of whoever decides.

`quota_terms` is what both sides speak of, `quota_lending` the gateway's side, `quota_plan` and `quota_granting` the planner,
`demand_estimate` and `planner_link` what a gateway asks for and when.
"""
