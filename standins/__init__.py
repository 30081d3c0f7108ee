"""Small stand-ins for what lies outside the product: platform, upstreams and callers."""
