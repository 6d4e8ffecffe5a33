"""Roll-outs: moving the requests of a route to another service in steps, guided by measured failures."""
