"""Random faults against real processes; callers and back ends check guarantees."""
