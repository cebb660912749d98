"""The parts that all gateway processes share, whichever protocol their clients speak.

`scheduler_host` runs the scheduler in real time. It guarantees that each request gets
exactly one final answer and that no attempt is sent after it, since every send passes
through it. `timer_queue` and `reactor_turn` determine when its calls run.
`stall_detection` and `stall_watch` detect that the process was stalled, so that stale
timers and arrival times are corrected. `process_setup` sets up signals and the garbage
collector.
"""
