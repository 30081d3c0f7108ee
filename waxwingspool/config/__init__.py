"""Process settings, the configuration file and the publication of accepted versions."""
