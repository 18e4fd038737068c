"""Start one entry VM on the platform from a checkout."""

import os
import sys
from pathlib import Path

# Every channel is plain HTTP. Importing the HTTP client reads the system's
# certificates all the same, some 0.1 s of 0.7 s to start; it finds none here.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from lycheerelay.platform import main  # noqa: E402

sys.exit(main())
