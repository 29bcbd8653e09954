"""Errors of the controller package."""

__all__ = ["ControllerError", "NoPlaceInViewError", "NoViewError"]


class ControllerError(RuntimeError):
    """A call that the controller's state does not allow: an error of the caller, not of received data."""


class NoViewError(ControllerError):
    """No membership view is known yet, so no machine has an owner. The call is possible after the first view change."""


class NoPlaceInViewError(ControllerError):
    """The controller has no place in the view: it owns no machines and schedules no jobs."""
