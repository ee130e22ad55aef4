import { GatewayHarness } from './gateway-harness.ts';
import type { GatewayChildOptions } from './gateway-process.ts';

/** Runs a gateway alone in a process, so that its memory and its processor time are its own. */
const { runners, route, limits } = JSON.parse(process.argv[2] ?? '{}') as GatewayChildOptions;
const harness = await GatewayHarness.open({ isEmpty: true });
for (const [service, port] of Object.entries(runners)) {
  await harness.registerRunner(service, port, { service, slots: 200 });
}
const shared = { kind: 'idempotent', timeout_ms: 2_000, target_latency_ms: 300, max_attempts: 1 };
await harness.configure({
  routes: Object.keys(runners).map((service) => ({
    ...shared,
    name: service,
    host: 'a.example',
    path_prefix: `/${service}/`,
    service,
    ...(service === 'sound' ? {} : route),
  })),
  services: Object.keys(runners).map((name) => ({
    name,
    health_path: '/health',
    max_connections: 200,
  })),
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 2_000,
    idle_timeout_ms: 5_000,
    ...limits,
  },
});
process.once('disconnect', () => {
  process.exit();
});
process.send?.(harness.gateway.ports.callers);
