/** Requests by team that runners began to run in one window of the wall clock. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}
