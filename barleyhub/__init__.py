"""Pure decision logic of the gateways: admission, choice of servers, retries."""
