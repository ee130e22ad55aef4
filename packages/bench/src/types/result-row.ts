/** Measured values of one policy. */
export interface ResultRow {
  readonly policy: string;
  readonly values: Readonly<Record<string, number>>;
}
