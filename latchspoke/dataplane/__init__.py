"""The data plane: a gateway that forwards clients' requests to servers as configured."""
