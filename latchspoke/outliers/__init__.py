"""Outlier detection across gateways: evidence on failing servers, shared by the control plane.

Gateways report failures and attempts by server to a control-plane node, which keeps them under leases and
sends the sums to all gateways.
"""
