"""Simulation of a whole deployment in virtual time, running the real gateway and control-plane code."""
