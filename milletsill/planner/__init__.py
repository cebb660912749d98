"""The planner, and the edge's side of it: parts of limits, reserves and cold boxes' budgets, lent and given back."""
