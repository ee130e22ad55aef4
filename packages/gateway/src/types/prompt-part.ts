/** Part of a prompt; requests with the same leading parts share their KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
