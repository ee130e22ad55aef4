/** Options of the publication of a report. */
export interface PublishOptions {
  /**
   * True when the report is to reach every node as fast as a change of members, such as a bad version.
   * @default false
   */
  readonly urgent?: boolean;
}
