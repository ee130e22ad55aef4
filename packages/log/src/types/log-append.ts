/** Record to append. */
export interface LogAppend {
  readonly id: string;
  readonly body: unknown;
}
