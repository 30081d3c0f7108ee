"""HTTP interfaces, request dispatch and process supervision."""
