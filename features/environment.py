"""Hooks of the contract tests."""

from behave import model, runner


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Start each scenario without the state of the one before it.

    behave drops what a scenario has put on the context. Resources that outlive
    it are registered with ``context.add_cleanup`` by the step that opens them.
    """
    context.subject = None
