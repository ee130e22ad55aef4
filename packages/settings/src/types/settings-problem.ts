/** One thing that is wrong with settings. */
export interface SettingsProblem {
  /** Place of the setting, for example `limits.bodyBytes`. */
  readonly path: string;
  /** What stands there; never a key. */
  readonly found: string;
  readonly allowed: string;
}
