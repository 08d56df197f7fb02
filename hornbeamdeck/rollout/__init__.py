"""Roll-outs: the operators' orders, and what the fleet knows of their course.

The decisions are in `hornbeamdeck.scheduling`.
"""
