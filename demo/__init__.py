"""A demonstration: the main job end to end, with processes that leave and are killed."""
