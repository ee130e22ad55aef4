/**
 * Order to a model engine. It describes the complete desired state, so it can be repeated safely.
 */
export interface EngineOrder {
  readonly fence: number;
  readonly action: 'load';
  readonly service: string;
  readonly version: string;
}
