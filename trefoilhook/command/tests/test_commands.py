"""Tests of the commands that call the admin API, and of exit codes."""

import json
import os
import shlex
import ssl
import threading
import unittest
from unittest import mock

import trio
import trustme
from cleo.testers.application_tester import ApplicationTester

from trefoilhook.admin.tests.fakes import CLUSTER_TOKEN, build_instance
from trefoilhook.command import (
    SPECS,
    USAGE_EXIT_CODE,
    build_application,
    derive_exit_code,
)
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.http import HttpServer
from trefoilhook.results import ResultCode

#: Command line, exit code, and part of the output; run in order on one instance.
_COMMANDS = (
    ("config set a/services/seat-check/timeout_ms 800", 0, "accepted at revision 11"),
    ("config set a/quota/cores 4 --revision 11", 0, "accepted at revision 12"),
    ("config set a/quota/cores 5 --revision 11", 50, "revision 12 now: 4"),
    ("config set a/quota/cors 5", 51, "did you mean 'cores'?"),
    ("config set a/quota/cores", 1, "either a value or --file"),
    ("config set a/placement/preset throughput-first", 0, "accepted"),
    ("config get a/placement/preset", 0, '"throughput-first"'),
    ("config get a/services/seat-check/timeout_ms", 0, "800"),
    ("config get a/nothing", 31, "NOT_FOUND"),
    ("config get a --json", 0, '"is_from_store": true'),
    ("config validate a/quota/cores 7", 0, "valid against revision 13"),
    ("config validate a/quota/cores x", 51, "must be a number"),
    ("config history a", 0, "services/seat-check/timeout_ms"),
    ("config delete a/quota/cores", 0, "deleted at revision 14"),
    ("config wait 5", 0, "in force on 1"),
    ("config wait 5000 --timeout 0", 52, "i-9 at 1000"),
    ("job create roster --team a --id r-1 --cores 2", 0, "r-1 is recorded durably"),
    ("job create roster --team a --cores much", 1, "--cores much"),
    ("job create roster --team a --cores 0", 1, "cores: must lie between"),
    ("job create roster", 1, "--team"),
    ("job list --team a", 0, "roster"),
    ("job show r-1 --team a", 0, "queued"),
    ("job show r-2 --team a", 31, "no such job"),
    ("explain r-1 --team a", 0, "waits for cores"),
    ("job cancel r-1 r-2 --team a", 31, "refused"),
    ("watcher create clouds --team a --id w-1", 0, "w-1"),
    ("watcher list --team a --json", 0, '"job_id": "w-1"'),
    ("service create seats --team a --id s-1", 0, "s-1"),
    ("status", 0, "revision in force everywhere: 10"),
    ("drain i-1", 0, "leaves"),
    ("gone i-1", 0, "nobody waits"),
    ("report burn", 0, "no requests were counted"),
    ("config gt a", 1, "config get"),
)


def _build_tester(send):
    application = build_application(send=send)
    application.auto_exits(False)
    return ApplicationTester(application)


def _run(tester, line):
    code = tester.execute(line)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


class CommandsTest(unittest.TestCase):
    """Commands against an admin handler, most of them without a network."""

    def setUp(self):
        self.instance = build_instance()
        environment = {"TREFOILHOOK_TOKEN": CLUSTER_TOKEN}
        patch = mock.patch.dict(os.environ, environment)
        patch.start()
        self.addCleanup(patch.stop)

    async def send(self, request, timeout_ms):
        return await self.instance.handler.handle(request)

    def test_commands(self):
        tester = _build_tester(self.send)
        for line, wanted, part in _COMMANDS:
            with self.subTest(line=line):
                code, printed = _run(tester, line)
                self.assertEqual(code, wanted, printed)
                self.assertIn(part, printed)

    def test_transport_failures_have_distinct_exit_codes(self):
        # Guards against scripts that repeat or skip a change after a failure, because
        # "not sent" and "may have been done" have the same exit code.
        for fault, wanted in (
            (NotSentError("refused"), derive_exit_code(ResultCode.OWNER_UNREACHABLE)),
            (AnswerLostError("silent"), derive_exit_code(ResultCode.ANSWER_LOST)),
        ):

            async def fail(request, timeout_ms, fault=fault):
                raise fault

            code, printed = _run(_build_tester(fail), "config delete a/quota")
            self.assertEqual(code, wanted, printed)

    def test_tokens_are_never_printed(self):
        for line in ("status --token hush-hush", "status --token hush-hush --json"):
            code, printed = _run(_build_tester(self.send), line)
            self.assertEqual(code, derive_exit_code(ResultCode.UNAUTHENTICATED))
            self.assertNotIn("hush", printed)

    def test_every_example_is_valid(self):
        tester = _build_tester(self.send)
        for spec in SPECS:
            for example in spec.examples:
                words = shlex.split(example)
                with self.subTest(example=example):
                    command = tester.application.find(spec.name)
                    self.assertEqual(" ".join(words[1:]).find(spec.name), 0)
                    known = {option.name for option in command.definition.options}
                    used = {word[2:] for word in words if word.startswith("--")}
                    self.assertLessEqual(used, known)

    def test_help_and_completion_exist(self):
        tester = _build_tester(self.send)
        for line, part in (
            ("config set --help", "trefoilhook config set bookings"),
            ("list", "report burn"),
            ("completions bash", "complete"),
        ):
            code, printed = _run(tester, line)
            self.assertEqual(code, 0)
            self.assertIn(part, printed)

    def test_progress_is_shown_after_a_second(self):
        async def send_slowly(request, timeout_ms):
            await trio.sleep(1.5)
            return await self.instance.handler.handle(request)

        _, printed = _run(_build_tester(send_slowly), "status")
        self.assertIn("waiting for the answer", printed)
        _, printed = _run(_build_tester(self.send), "status")
        self.assertNotIn("waiting for the answer", printed)

    def test_job_is_followed_to_its_end(self):
        async def send(request, timeout_ms):
            answer = await self.instance.handler.handle(request)
            body = answer.parse_json()
            body.update(is_ended=len(calls) == 2, state="failed", result_number=3)
            calls.append(request.target)
            return type(answer).from_json(body)

        calls = []
        _run(_build_tester(self.send), "job create x --id x-1 --team a")
        code, printed = _run(_build_tester(send), "job follow x-1 --team a")
        self.assertEqual((code, len(calls)), (3, 3))
        self.assertIn("BACKEND_FAILED (3)", printed)

    def test_requests_over_the_network(self):
        port, stop = _start_server(self.instance.handler.handle)
        self.addCleanup(stop)
        line = f"status --json --server http://127.0.0.1:{port}"
        code, printed = _run(_build_tester(None), line)
        self.assertEqual(code, 0, printed)
        self.assertEqual(json.loads(printed)["instance_id"], "i-1")

    def test_tls_requires_a_trusted_certificate(self):
        # Guards against sending an operator's token to an impostor: without a
        # certificate from a trusted authority, nothing is sent.
        trusted, untrusted = trustme.CA(), trustme.CA()
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        trusted.issue_cert("127.0.0.1").configure_cert(context)
        port, stop = _start_server(self.instance.handler.handle, tls=context)
        self.addCleanup(stop)
        not_sent = derive_exit_code(ResultCode.OWNER_UNREACHABLE)
        for authority, wanted in ((trusted, 0), (untrusted, not_sent)):
            with authority.cert_pem.tempfile() as path:
                line = f"status --server https://127.0.0.1:{port} --ca-file {path}"
                code, printed = _run(_build_tester(None), line)
                self.assertEqual(code, wanted, printed)

    def test_invalid_addresses_are_rejected(self):
        for server in ("ftp://127.0.0.1:1", "127.0.0.1", "http://[::1", "http://:x"):
            code, printed = _run(_build_tester(None), f"status --server {server}")
            self.assertEqual(code, USAGE_EXIT_CODE, printed)
            self.assertIn("is not an address", printed)


def _start_server(handle, *, tls=None):
    """Run a server in a thread; return its port and a function that stops it."""
    started = threading.Event()
    found = {}

    async def serve():
        server = HttpServer(handler=handle, host="127.0.0.1", port=0, tls=tls)
        async with trio.open_nursery() as nursery:
            found["port"] = await nursery.start(server.run)
            found["token"] = trio.lowlevel.current_trio_token()
            found["cancel"] = nursery.cancel_scope.cancel
            started.set()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    started.wait()

    def stop():
        found["token"].run_sync_soon(found["cancel"])
        thread.join()

    return found["port"], stop


class ExitCodeTest(unittest.TestCase):
    """Exit codes derived from result codes."""

    def test_codes_are_distinct_and_fit_a_shell(self):
        codes = [derive_exit_code(code) for code in ResultCode]
        failures = [code for code in codes if code]
        self.assertEqual(len(failures), len(set(failures)))
        self.assertLess(max(failures), 126)
        self.assertGreater(min(failures), 1)
