"""The balancer process of ``waxwingspool run``: HTTP interfaces, dispatch and supervision."""
