interface HomeRegionsOptions {
  /** Lists of home regions, all of which apply; an empty one allows any region. */
  readonly lists: readonly (readonly string[])[];
  /** Region of each failure domain. */
  readonly domainRegions: Readonly<Record<string, string>>;
  /** Region of the node to which the caller connected. */
  readonly callerRegion?: string | undefined;
}

/**
 * Regions in which a request may be served and to which its body may be sent. A failure domain without a
 * known region belongs to none.
 */
export class HomeRegions {
  readonly #lists: readonly (readonly string[])[];
  readonly #domainRegions: ReadonlyMap<string, string>;
  readonly #callerRegion: string | undefined;

  constructor({ lists, domainRegions, callerRegion }: HomeRegionsOptions) {
    this.#lists = lists.filter((regions) => regions.length > 0);
    this.#domainRegions = new Map(this.#lists.length > 0 ? Object.entries(domainRegions) : []);
    this.#callerRegion = callerRegion;
  }

  /** The request has no home regions. */
  get isAnywhere(): boolean {
    return this.#lists.length === 0;
  }

  /** Whether a runner of a failure domain may serve the request. */
  allowsRunner(failureDomain: string): boolean {
    return this.isAnywhere || this.#isHome(this.#domainRegions.get(failureDomain));
  }

  /** Whether the body of the request may be sent to a node of a failure domain. */
  allowsNode(failureDomain: string | undefined): boolean {
    if (this.isAnywhere) return true;
    const region = failureDomain === undefined ? undefined : this.#domainRegions.get(failureDomain);
    if (region === undefined) return false;
    return region === this.#callerRegion || this.#isHome(region);
  }

  #isHome(region: string | undefined): boolean {
    return region !== undefined && this.#lists.every((regions) => regions.includes(region));
  }
}
