/** Selects links of a fleet by their source and destination; an omitted field matches every link. */
export interface LinkSelection {
  /** Entry nodes or failure domains at which the links start. */
  readonly from?: readonly string[] | undefined;
  /** Destinations of the links: entry nodes, runners, failure domains or `platform`. */
  readonly to?: readonly string[] | undefined;
}
