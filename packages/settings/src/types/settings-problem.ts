/** Validation problem of a setting. */
export interface SettingsProblem {
  /** Path of the setting, for example `limits.bodyBytes`. */
  readonly path: string;
  /** Description of the value found; never contains a key. */
  readonly found: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}
