"""Start one entry VM on the platform from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from lycheerelay.platform import main  # noqa: E402

sys.exit(main())
