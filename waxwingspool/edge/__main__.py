"""Entry point of the deployed balancer: ``python3 -m waxwingspool.edge``."""

import signal
import sys

# SIGHUP requests a reload. It is ignored during start-up, which reads the settings anyway; its
# default action would terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# TLS is not used; importing ssl would take 4.5 MB of memory in a process of about 20 MB.
sys.modules.setdefault("ssl", None)

from waxwingspool.edge import process  # noqa: E402

sys.exit(process.main())
