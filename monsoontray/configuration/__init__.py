"""Accept, spread and enforce versions of the operators' lists."""
