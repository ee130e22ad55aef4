/** Comparison of a policy with the best of its baselines. */
export interface Comparison {
  readonly policy: string;
  readonly baselines: readonly string[];
  /** Values to compare, and whether lower or higher is better. */
  readonly values: Readonly<Record<string, 'lower' | 'higher'>>;
}
