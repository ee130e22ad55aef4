/** Options for publishing a report. */
export interface PublishOptions {
  /**
   * Gossips the report with the priority of a membership update, for example to report a bad version.
   * @default false
   */
  readonly urgent?: boolean;
}
