"""Which routers live, as far as they tell one another. No I/O, no clock; docs/design/membership.md."""
