/** Order to a model engine, which states the whole wanted state. */
export interface EngineOrder {
  readonly fence: number;
  readonly action: 'load';
  readonly service: string;
  readonly version: string;
}
