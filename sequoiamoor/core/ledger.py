"""Service done per organisation."""

from __future__ import annotations

from ..types import OrganisationName, ServiceName


class Ledger:
    """Counts the work done by this router per service and organisation."""

    def __init__(self) -> None:
        self._served: dict[tuple[ServiceName, OrganisationName], float] = {}

    def charge(
        self, service: ServiceName, organisation: OrganisationName, units: float
    ) -> None:
        """Adds work done, in service units."""
        key = (service, organisation)
        self._served[key] = self._served.get(key, 0.0) + units

    def served(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the work done, in service units."""
        return self._served.get((service, organisation), 0.0)
