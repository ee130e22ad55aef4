/** Network address of an endpoint or a peer. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
