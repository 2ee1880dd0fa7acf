"""Knowledge of the fleet about requests that end servers."""
