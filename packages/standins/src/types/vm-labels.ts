/** What runs on an endpoint VM. */
export interface VmLabels {
  readonly service?: string | undefined;
  readonly version?: string | undefined;
  readonly kind?: string | undefined;
}
