/** Requests by team that started executing in one window of wall-clock time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}
