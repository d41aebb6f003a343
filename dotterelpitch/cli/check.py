"""The ``check FILE`` command, which reports all problems of a service document."""

import sys
from pathlib import Path

from dotterelpitch.cli.settings import CheckSettings
from dotterelpitch.cli.tables import format_json
from dotterelpitch.documents.parsing import parse_document
from dotterelpitch.errors import DocumentError

EXIT_INVALID = 1


def check(settings: CheckSettings, file: str) -> int:
    """Validate the document in ``file`` and print each problem with its path.

    Returns exit code 1 if there are problems, and 0 if the document is valid.
    """
    problems = _find_problems(file)
    if settings.json:
        print(format_json({"file": file, "problems": problems}))
    elif problems:
        print("\n".join(problems), file=sys.stderr)
    else:
        print(f"{file}: valid")
    return EXIT_INVALID if problems else 0


def _find_problems(file: str) -> list[str]:
    try:
        parse_document(Path(file).read_bytes(), accept_yaml=True)
    except OSError as error:
        return [f"{file}: {error.strerror}"]
    except DocumentError as error:
        return error.problems
    return []
