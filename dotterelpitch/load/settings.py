"""Settings of the ``dotterelpitch-load`` commands."""

import attrs

from dotterelpitch.settings import check_addresses, check_positive, setting

EXPERIMENT_PARTS = ("baselines", "stalling", "churn", "surge", "limits", "costs")
EXPERIMENT_DEPLOYMENTS = ("disavnica", "cumpatat", "scaled")
ALL_PARTS = "all"


def check_share(value: float) -> None:
    """Raise ValueError unless ``value`` is from 0 to 1."""
    if not 0 <= value <= 1:
        raise ValueError("must be from 0 to 1")


def check_part(value: str) -> None:
    """Raise ValueError unless ``value`` is a part of the experiment."""
    _check_one_of(value, (*EXPERIMENT_PARTS, ALL_PARTS))


def check_deployment(value: str) -> None:
    """Raise ValueError unless ``value`` is a site of the experiment."""
    _check_one_of(value, EXPERIMENT_DEPLOYMENTS)


def _check_one_of(value: str, names: tuple[str, ...]) -> None:
    if value not in names:
        raise ValueError(f"not one of {', '.join(names)}")


@attrs.frozen
class RunSettings:
    """Settings of a load run: the routers and the workload."""

    routers: tuple[str, ...] = setting(
        "HTTP addresses of routers, IP:port separated by commas", check=check_addresses
    )
    model: str = setting("name of the model")
    key: str = setting("key of the client account", default="")
    rate: float = setting("new turns per second", default=20.0, check=check_positive)
    seconds: float = setting(
        "seconds during which turns start", default=10.0, check=check_positive
    )
    returning: float = setting(
        "share of turns that continue a chat", default=0.8, check=check_share
    )
    first_prompt_words: int = setting(
        "words in a chat's first message", default=400, check=check_positive
    )
    turn_words: int = setting(
        "words in each later message", default=20, check=check_positive
    )
    max_tokens: int = setting(
        "maximum tokens of an answer", default=32, check=check_positive
    )
    engines: tuple[str, ...] = setting(
        "stand-in engines whose statistics are read, IP:port separated by commas",
        default=(),
        check=check_addresses,
    )
    check_text: bool = setting(
        "compare answers with the text expected from stand-ins", default=False
    )
    seed: int = setting("seed of arrivals and texts", default=1)


@attrs.frozen
class ExperimentSettings:
    """Settings of the routing experiment; times are in seconds."""

    part: str = setting(
        "table: baselines, stalling, churn, surge, limits, costs, or all",
        default=ALL_PARTS,
        check=check_part,
    )
    deployment: str = setting(
        "site: disavnica, cumpatat, scaled",
        default="disavnica",
        check=check_deployment,
    )
    seconds: float = setting(
        "simulated time in seconds", default=120.0, check=check_positive
    )
    seed: int = setting("seed of arrivals and texts", default=1)
    plot: str = setting(
        "file for a plot of the baselines; no plot if empty", default=""
    )
