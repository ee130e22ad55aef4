/** Range, default and meaning of a number among the settings. */
export interface Range {
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
  readonly doc: string;
  /** @default as the kind of setting has it */
  readonly unit?: string;
}
