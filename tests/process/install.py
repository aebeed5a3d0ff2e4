#!/usr/bin/env python3
"""cmake --install gives the binary, the example settings, the pages and systemd units whose command lines are right."""
import argparse
import glob
import os
import re
import subprocess
import sys
import tempfile


def output(*command):
    return subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=60, check=True).stdout.decode()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as root:
        environment = dict(os.environ, DESTDIR=root)
        subprocess.run(["cmake", "--install", os.path.dirname(arguments.bin)], check=True, stdout=subprocess.DEVNULL,
                       env=environment)
        installed = [path[len(root):] for path in glob.glob(root + "/**", recursive=True) if os.path.isfile(path)]
        binary = root + next(path for path in installed if path.endswith("/bin/endiveroad"))
        assert output(binary, "version").startswith("endiveroad "), "the installed binary does not run"
        for name in ("caprock", "tatranet"):
            tree = root + os.path.dirname(next(path for path in installed if path.endswith(name + "/organisation.json")))
            assert output(binary, "settings", "validate", tree).startswith("valid"), name
        assert any(path.endswith("operators/commands.md") for path in installed), installed
        for role in ("entry", "agent"):
            unit = next(path for path in installed if path.endswith("systemd/system/endiveroad-%s.service" % role))
            with open(root + unit, encoding="utf-8") as stream:
                text = stream.read()
            assert "@" not in text, "a variable of the unit was not filled in"
            command = re.search(r"^ExecStart=(\S+) (\w+) (.*)$", text, re.MULTILINE)
            assert root + command.group(1) == binary and command.group(2) == role, command.group(0)
            options = output(binary, role, "--help")
            for option in re.findall(r"--[a-z-]+", command.group(3)):
                assert option in options, (option, options)
            for page in re.findall(r"file:(\S+)|see (\S+)", text):
                assert "".join(page) in installed, page
    return 0


if __name__ == "__main__":
    sys.exit(main())
