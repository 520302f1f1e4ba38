"""Random faults on real nodes, and whether their promises hold meanwhile."""
