"""A laboratory: the real controllers on virtual time, with the rules checked. Not imported by the service."""
