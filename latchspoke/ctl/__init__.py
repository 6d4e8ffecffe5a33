"""The command line of the system. The data plane and the control plane do not import it."""
