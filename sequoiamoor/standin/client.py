"""Client functions with which demonstration, benchmarks and tests call the fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import curio
from prometheus_client.parser import text_string_to_metric_families

from ..net.http_client import exchange
from ..types import Address

REQUEST_TIMEOUT_SECONDS = 10.0
READY_POLL_SECONDS = 0.05


async def fetch_async(
    address: Address, method: str, path: str, document: Any = None
) -> tuple[int, Any]:
    """Makes one request and returns the status and the body, decoded if it is JSON.

    Raises:
        OSError: If no response arrived within ``REQUEST_TIMEOUT_SECONDS``.
    """
    body = b"" if document is None else json.dumps(document).encode()
    response, data = await exchange(
        address, method, path, body=body, timeout=REQUEST_TIMEOUT_SECONDS
    )
    try:
        return response.status, json.loads(data)
    except ValueError:
        return response.status, data.decode("utf-8", "replace")


def fetch(address: Address, method: str, path: str, document: Any = None) -> Any:
    """Runs ``fetch_async`` outside a curio task."""
    return curio.run(fetch_async, address, method, path, document)


def fetch_or_raise(address: Address, method: str, path: str, document: Any) -> Any:
    """Makes one request that must succeed and returns its body.

    Raises:
        RuntimeError: If the status is not 200.
    """
    status, answer = fetch(address, method, path, document)
    if status != 200:
        raise RuntimeError(f"{method} {path} at {address}: status {status}: {answer}")
    return answer


def put_vms(platform: Address, vms: list[dict[str, Any]]) -> None:
    """Replaces the VM list of the stand-in platform."""
    fetch_or_raise(platform, "PUT", "/admin/vms", {"vms": vms})


def put_configuration(platform: Address, declaration: dict[str, Any]) -> None:
    """Writes the first version of the configuration."""
    value = {"document": declaration, "change_id": "first"}
    body = {"value": value, "expected_version": 0}
    fetch_or_raise(platform, "PUT", "/table/configuration", body)


def is_ready(address: Address) -> bool:
    """Returns whether the router at ``address`` is ready for requests."""
    try:
        return bool(fetch(address, "GET", "/readyz")[0] == 200)
    except OSError:
        return False


def wait_ready(address: Address, *, timeout: float) -> None:
    """Waits until the router at ``address`` is ready.

    Raises:
        TimeoutError: If it is not ready after ``timeout`` seconds.
    """
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if is_ready(address):
            return
        time.sleep(READY_POLL_SECONDS)
    raise TimeoutError(f"router {address} is not ready after {timeout} s")


@dataclass(slots=True)
class MetricsPage:
    """Samples of one read of ``/metrics``.

    Attributes:
        samples: Labels and value of each sample, by name of the sample.
    """

    samples: dict[str, list[tuple[Mapping[str, str], float]]] = field(
        default_factory=dict
    )

    def read(self, name: str, **labels: str) -> list[float]:
        """Returns the values of the samples that have at least these labels."""
        return [
            value
            for sample_labels, value in self.samples.get(name, [])
            if labels.items() <= sample_labels.items()
        ]


def parse_metrics(text: str) -> MetricsPage:
    """Returns the samples of a page in the text format of Prometheus."""
    page = MetricsPage()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            page.samples.setdefault(sample.name, []).append(
                (sample.labels, sample.value)
            )
    return page


async def read_metrics_async(address: Address) -> MetricsPage:
    """Reads ``/metrics`` of one router.

    Raises:
        OSError: If the router does not answer.
    """
    status, text = await fetch_async(address, "GET", "/metrics")
    return parse_metrics(text if status == 200 else "")


def read_metrics(address: Address) -> MetricsPage:
    """Runs ``read_metrics_async`` outside a curio task."""
    page: MetricsPage = curio.run(read_metrics_async, address)
    return page
