"""The randomized soak; soak/run.py tells how it works."""
