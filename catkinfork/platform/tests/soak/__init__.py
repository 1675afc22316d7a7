"""Soak of real forwarder processes on loopback: disruptions from outside, and checks of
what callers and backend servers see.
"""
