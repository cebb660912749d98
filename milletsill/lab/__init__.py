"""The laboratory: stand-ins, faults, load, audit and reports.

Nothing of the product imports it.
"""
