"""What tests of requests that end endpoints share: endpoints replaced, and who leads."""

from __future__ import annotations

from conftest import wait_until


def replace(site):
    """Replace the endpoints that have crashed, and wait until every router lists the new ones."""
    site.replace_crashed()
    wanted = {each.incarnation for each in (*site.engines, *site.workers)}
    for router in site.routers:
        wait_until(lambda router=router: _listed(router) == wanted, "all endpoints are listed")


def _listed(router):
    return {each.name for each in router._view.get().endpoints}


def leader(site):
    """Return the number of the control box that leads."""
    wait_until(lambda: any(box and box.leads() for box in site.control), "one leads")
    return next(number for number, box in enumerate(site.control) if box and box.leads())
