"""milletsill: a scheduler of reads and writes before shared storage nodes."""
