interface EntryOptions {
  readonly address: string;
  readonly born: number;
  readonly sequence: number;
  readonly zone?: string;
  readonly state?: 'ready' | 'draining';
  readonly slots?: number;
}

/** Entry of a runner of the service `app` in the store. */
export function entry({ address, born, sequence, ...changes }: EntryOptions): string {
  return JSON.stringify({
    service: 'app',
    address,
    zone: 'a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    cold_remaining_ms: 0,
    ...changes,
    sequence,
    born,
  });
}
