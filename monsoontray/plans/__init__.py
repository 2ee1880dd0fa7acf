"""Customers' plans, what each plan may use, and their versions."""
