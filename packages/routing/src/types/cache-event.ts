/** Cache event of a model engine. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of the prefix that ends with the block. */
  readonly prefix: string;
}
