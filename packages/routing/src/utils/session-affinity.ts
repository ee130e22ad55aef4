interface SessionLocation {
  readonly runnerId: string;
  readonly recordedAt: number;
}

/** Maximum number of sessions stored; covers several minutes of a node's requests. */
const MAX_SESSIONS = 4_096;
/**
 * Time for which a runner is expected to keep a session's prefix cached, in milliseconds: about the
 * time in which new prompts fill the KV cache once.
 */
const RETENTION_MS = 20_000;

/**
 * Stores the runner that each session was last sent to, which likely has the session's prefix
 * cached.
 */
export class SessionAffinity {
  readonly #locations = new Map<string, SessionLocation>();

  /** Records that a request of the session was sent to a runner. */
  record(session: string, runnerId: string, now: number): void {
    if (session === '') return;
    this.#locations.delete(session);
    this.#locations.set(session, { runnerId, recordedAt: now });
    if (this.#locations.size <= MAX_SESSIONS) return;
    const [oldest] = this.#locations.keys();
    if (oldest !== undefined) this.#locations.delete(oldest);
  }

  /**
   * Runner that is expected to have the session's prefix cached; `undefined` when there is none.
   */
  find(session: string, now: number): string | undefined {
    const location = this.#locations.get(session);
    return location && now - location.recordedAt <= RETENTION_MS ? location.runnerId : undefined;
  }
}
