interface Place {
  readonly runnerId: string;
  readonly at: number;
}

/** Sessions that are remembered: several minutes of a node's requests. */
const MAX_SESSIONS = 4_096;
/** Time for which a runner is expected to hold a session's parts, in milliseconds: the KV cache is read full once within it. */
const KEPT_MS = 20_000;

/** Runners that this node sent the requests of each session to last: they hold the session's parts. */
export class SessionPlaces {
  readonly #places = new Map<string, Place>();

  /** Notes that a runner reads the prompt of a request of the session. */
  note(session: string, runnerId: string, now: number): void {
    if (session === '') return;
    this.#places.delete(session);
    this.#places.set(session, { runnerId, at: now });
    if (this.#places.size <= MAX_SESSIONS) return;
    const [oldest] = this.#places.keys();
    if (oldest !== undefined) this.#places.delete(oldest);
  }

  /** Runner that is expected to hold the session's parts. */
  find(session: string, now: number): string | undefined {
    const place = this.#places.get(session);
    return place && now - place.at <= KEPT_MS ? place.runnerId : undefined;
  }
}
