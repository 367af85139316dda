"""The command `linnetstile`. A sub-command is imported only when it is called, so that `--help` is fast.

Exit codes: 0 success; 1 negative result (a rule broken, a message not delivered); 2 bad arguments, settings or
records; 3 could not start; 4 stopped with messages unanswered.
"""

from __future__ import annotations

import importlib

import click

COMMANDS = {
    "relay": "Run one relay from a settings file.",
    "scale": "Play a large fleet: simulated relays beside a few real processes.",
    "play": "Play a day through real relays and check it against the rules.",
    "check": "Check the record of a run against the rules.",
    "show": "Show the state of a running relay: connections, queues, slow partners.",
    "knowledge": "Show, compare, export and import what relays know about partners.",
    "send": "Submit one AS2 message and show its answer.",
    "standin": "Run an emulator: partners, registry or clients.",
}
HELP = """linnetstile accepts AS2 messages and forwards them to partners outside its operator's control.

\b
First run:      linnetstile play days/two-troubles.yaml
One relay:      linnetstile relay relay.yaml
One message:    linnetstile send --to 127.0.0.1:4080 --from a --partner b FILE

Exit codes: 0 success; 1 negative result; 2 bad arguments, settings or records; 3 could not start;
4 stopped with messages unanswered.
"""


class LazyGroup(click.Group):
    """A group that imports a sub-command when it is called, and lists all of them without importing any."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names in the order of the help text."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import a sub-command; return None if no sub-command has this name."""
        if name not in COMMANDS:
            return None
        command = importlib.import_module(f"linnetstile.cli.{name}").command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of sub-commands."""
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]}, help=HELP)
@click.version_option(package_name="linnetstile")
def main() -> None:
    """Run the sub-command that the arguments name."""


if __name__ == "__main__":
    main()
