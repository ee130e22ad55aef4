import type { ConfigurationChange } from '../types/configuration-change.ts';

interface Team {
  readonly name: string;
  readonly apiKey: string;
}

const TIMEOUT_MS = 3_500;
const TARGET_LATENCY_MS = 300;
const IDLE_TIMEOUT_MS = 5_000;
const VERSION_STEP = 3;
/** Uploads have 4 MB, which the buffers of a connection do not hold. */
const MAX_BODY_BYTES = 5_000_000;

const ROUTES = [
  { name: 'order', kind: 'non_idempotent', max_attempts: 1 },
  { name: 'read', kind: 'idempotent', max_attempts: 2 },
  { name: 'draft', kind: 'streaming', max_attempts: 1, stream_resume: false },
  { name: 'ask', kind: 'streaming', max_attempts: 2, stream_resume: true },
] as const;

/** Values of the changes, by the targets of their faults. */
const CHANGED_TIMEOUTS_MS = [3_000, 4_000, 6_000];
const CHANGED_IDLE_TIMEOUTS_MS = [2_000, 3_000, 8_000];
const CHANGED_ATTEMPTS = [1, 2];
const CHANGED_ROUTES = [['order', 'draft'], ['ask'], ['read', 'ask']] as const;
const LOW_LIMIT = { rate_per_s: 5, burst: 5 };

/** The configuration that operators write, and its changes. */
export class SoakConfiguration {
  readonly #teams: readonly Team[];
  readonly #services: readonly string[];
  readonly #changes = new Map<ConfigurationChange, number>();
  #version = 1;

  /** The first service serves all routes until they move to the second one. */
  constructor(teams: readonly Team[], services: readonly string[]) {
    this.#teams = teams;
    this.#services = services;
  }

  get version(): number {
    return this.#version;
  }

  /** Begins a change, with the values of a target. */
  begin(change: ConfigurationChange, target: number): void {
    this.#changes.set(change, target);
  }

  end(change: ConfigurationChange): void {
    this.#changes.delete(change);
  }

  /** Returns a record with a new version, which adds one route named after the version. */
  next(): object {
    this.#version += VERSION_STEP;
    const own = { name: `v${this.#version}`, kind: 'idempotent', max_attempts: 2 };
    const removed = this.#valueOf('configure-removes', CHANGED_ROUTES) ?? [];
    const kept = ROUTES.filter(({ name }) => !isIn(removed, name));
    const changesKeys = this.#changes.has('configure-keys');
    const changesCaps = this.#changes.has('configure-caps');
    const isLast = (index: number): boolean => index === this.#teams.length - 1;
    return {
      version: this.#version,
      routes: [...kept.map((route) => this.#changedRoute(route)), own].map((route) => ({
        host: 'soak.example',
        path_prefix: `/${route.name}/`,
        timeout_ms: this.#valueOf('configure-timeouts', CHANGED_TIMEOUTS_MS) ?? TIMEOUT_MS,
        target_latency_ms: TARGET_LATENCY_MS,
        gap_target_ms: TARGET_LATENCY_MS,
        priority: 1,
        service: this.#services[0],
        ...route,
      })),
      services: this.#services.map((name) => ({
        name,
        health_path: '/health',
        max_connections: 500,
      })),
      tenants: this.#teams.map(({ name, apiKey }, index) => ({
        name,
        api_keys: changesKeys && isLast(index) ? [] : [apiKey],
        ...(changesCaps && isLast(index) ? LOW_LIMIT : {}),
      })),
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout_ms: 2_000,
        idle_timeout_ms:
          this.#valueOf('configure-idle', CHANGED_IDLE_TIMEOUTS_MS) ?? IDLE_TIMEOUT_MS,
      },
    };
  }

  #changedRoute(route: (typeof ROUTES)[number]) {
    const moved = this.#valueOf('configure-moves', CHANGED_ROUTES) ?? [];
    return {
      ...route,
      max_attempts: this.#valueOf('configure-attempts', CHANGED_ATTEMPTS) ?? route.max_attempts,
      ...(isIn(moved, route.name) ? { service: this.#services[1] } : {}),
    };
  }

  /** Value of a change for its target; undefined while the change is not in force. */
  #valueOf<Value>(change: ConfigurationChange, values: readonly Value[]): Value | undefined {
    const target = this.#changes.get(change);
    return target === undefined ? undefined : values[target % values.length];
  }
}

function isIn(names: readonly string[], name: string): boolean {
  return names.includes(name);
}
