/** Part of a prompt; requests with the same leading parts can share KV cache entries. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
