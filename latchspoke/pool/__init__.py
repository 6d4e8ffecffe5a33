"""For people, and between gateways: versions of pools, where a caller goes, who a change would move."""
