"""Distribution of load over servers beyond the default owners of a key (docs/design/balance.md). No I/O, no clock."""
