"""What a balancer knows: its own settings, the routes in force and the upstreams."""
