"""Tests of a complete system in one process: TLS, metrics and the burn report."""

import ssl
import tempfile
import unittest
from pathlib import Path

import attrs
import trio
import trustme

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.demo import CLUSTER_TOKEN, LocalCluster, LocalPlan, LocalPlatform
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.settings import ListenerSettings, ListenersSettings, TlsSettings

_HOST = "127.0.0.1"
_TEAM = "carrowmore"
_DEADLINE_S = 60.0


def _write_certificates(folder: Path) -> tuple[TlsSettings, ssl.SSLContext]:
    """Write a certificate for the loopback address; also return a client context."""
    authority = trustme.CA()
    issued = authority.issue_cert(_HOST)
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    authority.cert_pem.write_to_path(folder / "authority.pem")
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return (
        TlsSettings(
            certificate_file=str(folder / "cert.pem"),
            key_file=str(folder / "key.pem"),
            authority_file=str(folder / "authority.pem"),
        ),
        context,
    )


class SystemTest(unittest.TestCase):
    """Behaviour of a running system as callers and operators see it."""

    def _run(self, scenario, *, settings=None, instances: int = 2) -> None:
        async def run() -> None:
            with trio.fail_after(_DEADLINE_S):
                async with trio.open_nursery() as nursery:
                    platform = LocalPlatform(
                        clock=build_system_clock(),
                        nursery=nursery,
                        plan=LocalPlan(
                            instances=instances, services={f"{_TEAM}/seat-check": 2}
                        ),
                    )
                    if settings is not None:
                        platform.settings = settings(platform.settings)
                    await platform.start()
                    cluster = LocalCluster(platform=platform)
                    await cluster.start()
                    await scenario(cluster)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _configure(self, admin) -> None:
        subtree = {
            "tokens": {"callers": [digest_token("caller")]},
            "services": {"seat-check": {"is_idempotent": True}},
        }
        changed = await admin.send("PUT", f"/v1/config/teams/{_TEAM}", subtree)
        revision = changed["revision"]
        await admin.send("GET", f"/v1/config/wait?revision={revision}&timeout_ms=9000")

    def test_metrics_and_burn_report_reflect_served_requests(self):
        async def scenario(cluster: LocalCluster) -> None:
            admin = cluster.open_admin(0)
            await self._configure(admin)
            for number in range(2):
                entry = cluster.open_entry(number, "caller")
                for _ in range(5):
                    answer = await entry.send(_TEAM, "seat-check", b"night 1")
                    self.assertEqual(answer.code.number, 0, answer)
                await entry.close()
            report = await admin.send("GET", "/v1/burn")
            text = await self._read_metrics(cluster)
            await admin.close()
            service = report["services"][0]
            self.assertEqual(service["service"], "seat-check")
            self.assertIn('trefoilhook_requests_total{result="0"} 5.0', text)
            self.assertIn('trefoilhook_shards{kind="req"}', text)
            self.assertIn('trefoilhook_store_calls_total{operation="GET watch"', text)

        self._run(scenario)

    async def _read_metrics(self, cluster: LocalCluster) -> str:
        client = HttpClient(host=_HOST, port=cluster.addresses[0].admin_port)
        headers = (("authorization", f"Bearer {CLUSTER_TOKEN}"),)
        request = HttpRequest(method="GET", target="/metrics", headers=headers)
        response = await client.send(request)
        await client.close()
        return response.body.decode()

    def test_tls_on_every_listener(self):
        # Callers and operators connect over TLS; instances authenticate each other by
        # certificates of one authority.
        with tempfile.TemporaryDirectory() as folder:
            tls, context = _write_certificates(Path(folder))
            open_tls = attrs.evolve(tls, authority_file=None)

            def secure(settings):
                return attrs.evolve(
                    settings,
                    listeners=ListenersSettings(
                        entry=ListenerSettings(tls=open_tls),
                        admin=ListenerSettings(tls=open_tls),
                        inner=ListenerSettings(tls=tls),
                    ),
                )

            async def scenario(cluster: LocalCluster) -> None:
                port = cluster.addresses[1].admin_port
                client = HttpClient(host=_HOST, port=port, tls=context)
                headers = (("authorization", f"Bearer {CLUSTER_TOKEN}"),)
                request = HttpRequest(
                    method="GET", target="/v1/status", headers=headers
                )
                response = await client.send(request)
                states = {i["state"] for i in response.parse_json()["instances"]}
                self.assertEqual((response.status, states), (200, {"live"}))
                await client.close()

            self._run(scenario, settings=secure)
