"""Errors of the controller package."""

__all__ = ["ControllerError", "NoPlaceInViewError", "NoViewError"]


class ControllerError(RuntimeError):
    """A call that the controller's state does not allow; a fault of the caller, not of what came in."""


class NoViewError(ControllerError):
    """No membership view is known yet, so nobody owns anything. Ask again after the first view change."""


class NoPlaceInViewError(ControllerError):
    """The controller has no place in the view: it owns no machines and schedules no jobs."""
