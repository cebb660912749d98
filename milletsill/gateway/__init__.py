"""What every gateway process shares, whichever protocol its clients speak.

`scheduler_host` runs the scheduler in real time and keeps rule 1 (one final answer,
nothing sent after it) at the last place that a send passes; `timer_queue` and
`reactor_turn` decide when its calls run; `stall_detection` says what a process that
stood still must not believe; `process_setup` prepares signals and the garbage
collector.
"""
