/** What crashes runners in the requests of a caller. */
export interface CrashCause {
  /** Sends only streams whose prompts have this part. */
  readonly crashingPart?: string;
  /** Sends one read again and again, with this path. */
  readonly crashingPath?: string;
}
