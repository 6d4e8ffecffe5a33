"""What is decided about a fleet of gateways: no I/O, no clock, no sockets in here."""
