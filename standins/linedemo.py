"""Demo of the users' platform: real daemons run the main job once, on stand-ins."""

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from bronzerelay.runtime import Address, Runtime
from standins.demo import DemoError, report, require
from standins.linecaller import LineCaller, LineReply
from standins.lineplatform import AGED, NORTH, OWN, STRICT, LinePlatform
from standins.processes import reserve_addresses

PROGRAM = Path(__file__).resolve().parent.parent / "platform" / "main.py"
TASKS = 300
WAIT_MS = 10_000
STOP_S = 10
NAMES = ("vm-1", "vm-2")


class Deployment:
    """The platform stand-in, and two daemons in processes of their own."""

    def __init__(self, runtime: Runtime, folder: Path):
        self.runtime = runtime
        self.platform = LinePlatform(runtime)
        self.addresses: dict[str, Address] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        for name in NAMES:
            self._start(name, folder)

    def _start(self, name: str, folder: Path) -> None:
        ports = [listener.address for listener in reserve_addresses(self.runtime, 3)]
        self.addresses[name] = ports[0]
        settings = folder / f"{name}.toml"
        self.platform.write_settings(settings, name, ports)
        with (folder / f"{name}.log").open("w") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                env={**os.environ, "BRONZERELAY_SETTINGS": str(settings)},
                stdout=log,
            )

    def wait(self, predicate: Callable[[], bool], what: str) -> None:
        """Wait until `predicate` holds, or raise DemoError with `what`."""
        end_ms = self.runtime.clock.now_ms() + WAIT_MS
        while not predicate():
            require(self.runtime.clock.now_ms() < end_ms, f"Timed out: {what}.")
            self.runtime.clock.sleep_ms(20)

    def connect(self, name: str, database: str) -> LineCaller:
        """Return a session with a daemon, once the daemon accepts one."""
        sessions: list[LineCaller] = []

        def try_once() -> bool:
            try:
                caller = LineCaller(self.runtime, self.addresses[name])
                if caller.start(database, NORTH.keys[0]) == "READY I -":
                    sessions.append(caller)
            except OSError:
                return False
            return bool(sessions)

        self.wait(try_once, f"a session at {name}")
        return sessions[0]

    def close(self) -> None:
        """Kill the daemons and stop the platform stand-in."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.platform.close()


def run_ok(caller: LineCaller, text: str) -> LineReply:
    """Run a statement that must succeed, retrying it as refusals allow."""
    reply = caller.query_with_retries(text)
    require(not reply.error, f"{text!r} was refused: {reply.error} {reply.text}")
    return reply


def show_sessions(deployment: Deployment) -> None:
    """Write, read back, prepare, and commit a transaction."""
    caller = deployment.connect(NAMES[0], OWN)
    deployment.wait(lambda: not caller.query("STORE lunch 40").error, "a first write")
    require(run_ok(caller, "FETCH lunch").rows == ["40"], "The session lost its write.")
    report("A session at vm-1 wrote and read its own change.")
    run_ok(caller, "PARSE s1 FETCH q1")
    require(run_ok(caller, "EXECUTE s1 lunch").rows == ["40"], "s1 read another row.")
    run_ok(caller, "BEGIN")
    run_ok(caller, "STORE diet celiac")
    run_ok(caller, "STORE tray special")
    run_ok(caller, "COMMIT")
    require(run_ok(caller, "FETCH tray").rows == ["special"], "The commit is gone.")
    report("It ran a prepared statement, and committed a transaction of two writes.")


def show_replicas(deployment: Deployment) -> None:
    """Read data of a stated age on replicas."""
    caller = deployment.connect(NAMES[1], AGED)
    deployment.wait(lambda: not caller.query("FETCH lunch").error, "a read at vm-2")
    deployment.runtime.clock.sleep_ms(500)
    before = len(deployment.platform.group.runs)
    for _ in range(20):
        require(run_ok(caller, "FETCH lunch").rows == ["40"], "A read was too old.")
    runs = deployment.platform.group.runs[before:]
    on_replicas = sum(run.instance != "orders-0" for run in runs)
    require(on_replicas > 0, "No read went to a replica.")
    report(f"Of 20 reads of a stated age at vm-2, replicas served {on_replicas}.")


def show_primary_change(deployment: Deployment) -> None:
    """Make the primary stop answering, and wait until another one has replaced it."""
    caller = deployment.connect(NAMES[0], STRICT)
    deployment.platform.group.instances["orders-0"].silent = True
    deployment.wait(lambda: not caller.query("STORE after 1").error, "a new primary")
    promotion = deployment.platform.group.promotions[-1]
    report(
        "The primary stopped answering; "
        f"{promotion[0]} was promoted in epoch {promotion[2]}."
    )


def show_withdrawn_key(deployment: Deployment) -> None:
    """Withdraw a key while a session with it is open."""
    caller = deployment.connect(NAMES[1], STRICT)
    deployment.platform.tenants = [NORTH._replace(keys=())]
    deployment.platform.configure()
    deployment.wait(
        lambda: caller.query("FETCH lunch").error == "DENIED", "a refusal of the key"
    )
    report("The operator withdrew the key; the open session is refused.")


def show_stop(deployment: Deployment) -> None:
    """Stop both daemons and check their exit codes."""
    for process in deployment.processes.values():
        process.send_signal(signal.SIGTERM)
    for name, process in deployment.processes.items():
        code = process.wait(STOP_S)
        require(code == 0, f"{name} ended with exit code {code}.")
    report("Both daemons ended after SIGTERM with exit code 0.")


def main() -> None:
    """Run the demo; exit 1 with the reason when a step fails."""
    runtime = Runtime(task_limit=TASKS)
    with tempfile.TemporaryDirectory(prefix="bronzerelay-lines-") as name:
        report("On the users' platform: a store, a primary, two replicas, two daemons.")
        deployment = Deployment(runtime, Path(name))
        try:
            show_sessions(deployment)
            show_replicas(deployment)
            show_primary_change(deployment)
            show_withdrawn_key(deployment)
            show_stop(deployment)
        except (DemoError, OSError) as error:
            report(f"The demo failed: {error}")
            sys.exit(1)
        finally:
            deployment.close()
            runtime.close(500)
    report("The demo of the platform is done.")
    # Tasks of the stand-ins still wait on connections, and a normal exit would wait for
    # them.
    os._exit(0)


if __name__ == "__main__":
    main()
