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
        "comma-separated HTTP addresses (IP:port) of routers", check=check_addresses
    )
    model: str = setting("name of the model that the chats use")
    key: str = setting("key of the client account", default="")
    rate: float = setting(
        "mean number of chat turns started per second",
        default=20.0,
        check=check_positive,
    )
    seconds: float = setting(
        "seconds during which turns are started", default=10.0, check=check_positive
    )
    returning: float = setting(
        "share of turns that continue a chat, from 0 to 1",
        default=0.8,
        check=check_share,
    )
    first_prompt_words: int = setting(
        "number of words in the first message of a chat",
        default=400,
        check=check_positive,
    )
    turn_words: int = setting(
        "number of words in each later message of the user",
        default=20,
        check=check_positive,
    )
    max_tokens: int = setting(
        "maximum number of tokens in an answer", default=32, check=check_positive
    )
    engines: tuple[str, ...] = setting(
        "comma-separated stand-in engines (IP:port) whose statistics are reported",
        default=(),
        check=check_addresses,
    )
    check_text: bool = setting(
        "compare complete answers with the text expected from stand-in engines",
        default=False,
    )
    seed: int = setting("seed of the random arrivals and message texts", default=1)


@attrs.frozen
class ExperimentSettings:
    """Settings of the routing experiment; times are in seconds."""

    part: str = setting(
        "part to run: baselines, stalling, churn, surge, limits, costs, or all",
        default=ALL_PARTS,
        check=check_part,
    )
    deployment: str = setting(
        "simulated site: disavnica, cumpatat, or scaled",
        default="disavnica",
        check=check_deployment,
    )
    seconds: float = setting(
        "simulated seconds of each run", default=120.0, check=check_positive
    )
    seed: int = setting("seed of the random workload and choices", default=1)
    plot: str = setting(
        "path of the file for a plot of the baselines; no plot if empty", default=""
    )
