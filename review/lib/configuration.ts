interface RouteChange {
  readonly name: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'streaming';
  readonly max_attempts?: number;
  readonly timeout_ms?: number;
  readonly stream_resume?: boolean;
  readonly target_latency_ms?: number;
  readonly gap_target_ms?: number;
}

/** Manifest of a small deployment with one service, `app`, and one tenant, `novak`. */
export function configuration(version: number, routes: readonly RouteChange[]): string {
  return JSON.stringify({
    version,
    routes: routes.map((route) => ({
      host: 'desk.example',
      path_prefix: `/${route.name}/`,
      timeout_ms: 4_000,
      target_latency_ms: 300,
      gap_target_ms: 400,
      priority: 1,
      service: 'app',
      max_attempts: 2,
      ...route,
    })),
    services: [{ name: 'app', health_path: '/health', max_connections: 370 }],
    tenants: [{ name: 'novak', api_keys: ['key-1'] }],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 100_000,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
  });
}
