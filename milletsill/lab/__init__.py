"""The laboratory: scenario runs with real gateways, stand-ins, faults and audits.

A run starts gateway processes on loopback, with stand-ins for the nodes and the
registry, and audits what crossed the sockets. No production module imports this
package.
"""
