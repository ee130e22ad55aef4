/** Range, default and description of a numeric setting. */
export interface NumericSettingOptions {
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
  readonly doc: string;
  /** @default the unit of the setting's kind */
  readonly unit?: string;
}
