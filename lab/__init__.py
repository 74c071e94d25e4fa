"""Measures what each role of a daemon costs, and works out the page on capacity."""
