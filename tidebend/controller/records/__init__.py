"""Job records written by compare-and-swap, and what the reports of workers prove for them."""
