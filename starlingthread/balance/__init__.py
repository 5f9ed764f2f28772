"""How load is spread over the servers, beyond the default owners of a key. No I/O, no clock; docs/design/balance.md."""
