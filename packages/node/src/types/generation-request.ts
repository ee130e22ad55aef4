/** Request to a model engine to generate tokens. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly prompt: string;
  /** Tokens that earlier attempts generated; generation continues after them. */
  readonly generated: readonly string[];
  /** Maximum length of the response in tokens, including `generated`. */
  readonly maxTokens: number;
  /** Requests with a larger value are served first. */
  readonly priority: number;
}
