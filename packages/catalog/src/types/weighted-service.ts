/** Service that receives a share of a route's requests in proportion to its weight. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}
