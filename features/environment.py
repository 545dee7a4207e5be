"""behave hooks of the contract tests."""

from behave import model, runner


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Start each scenario without the state of the one before it.

    behave drops what a scenario has put on the context. A step that opens a
    resource registers its release with ``context.add_cleanup``.
    """
    context.subject = None
