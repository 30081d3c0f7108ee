"""Entry point of the deployed role: ``python3 -m waxwingspool.edge``."""

import sys

# Nothing here uses TLS; importing it costs 4.5 MB of a process that has about 20.
sys.modules.setdefault("ssl", None)

from waxwingspool.edge import process  # noqa: E402

sys.exit(process.main())
