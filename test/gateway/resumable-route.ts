import { ROUTE_KINDS } from './route-kinds.ts';

/** Change of the harness's route: streams are tried elsewhere after a short silence, and last for a while. */
export const RESUMABLE_ROUTE = {
  ...ROUTE_KINDS.stream,
  timeout_ms: 8_000,
  max_attempts: 3,
} as const;
