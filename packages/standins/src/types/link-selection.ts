/** Links of a fleet, chosen by their ends; an end left out chooses all. */
export interface LinkSelection {
  /** Entry nodes or failure domains from which the links lead. */
  readonly from?: readonly string[] | undefined;
  /** Entry nodes, runners, failure domains or `platform` to which the links lead. */
  readonly to?: readonly string[] | undefined;
}
