"""Settings, the configuration file, and how an accepted version spreads."""
