"""Accept, distribute and enforce versions of the operators' lists."""
