/** Changes of the harness's route that make its requests of one kind. */
export const ROUTE_KINDS = {
  idempotent: { kind: 'idempotent' },
  'once-only': { kind: 'non_idempotent' },
  stream: { kind: 'streaming', stream_resume: true, gap_target_ms: 300 },
} as const;
